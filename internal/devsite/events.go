package devsite

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	// These packages register log events but are not imported by a site's code.
	_ "buckthornpick/internal/control"
	_ "buckthornpick/internal/entryd"
	_ "buckthornpick/internal/experiment"
	_ "buckthornpick/internal/fleet"
	_ "buckthornpick/internal/relayd"

	"buckthornpick/internal/telemetry"
)

const eventsIntroduction = `# Log events

Every log line is a JSON object with the event's number in "event" and its name
in "msg". Numbers never change their meaning. This page is printed by
` + "`buckthornpick-dev events`" + ` and checked against the code by a test.

| number | name | level | meaning |
|---|---|---|---|
`

// writeEvents writes the catalogue of all log events in the form of
// docs/EVENTS.md.
func writeEvents(w io.Writer) error {
	if _, err := io.WriteString(w, eventsIntroduction); err != nil {
		return err
	}
	for _, e := range telemetry.Catalogue() {
		if _, err := fmt.Fprintf(w, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Description); err != nil {
			return err
		}
	}
	return nil
}

func eventsAction(_ context.Context, c *cli.Command) error { return writeEvents(c.Root().Writer) }
