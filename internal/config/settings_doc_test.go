package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// leafFields adds the value of each leaf field of a settings struct to fields, by
// path.
func leafFields(path string, v reflect.Value, fields map[string]string) {
	for f, value := range v.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		at := joinPath(path, name)
		if value.Kind() == reflect.Struct {
			leafFields(at, value, fields)
			continue
		}
		fields[at] = fmt.Sprint(value.Interface())
	}
}

// section returns the text of the page under the heading.
func section(t *testing.T, page, heading string) string {
	_, after, ok := strings.Cut(page, "\n## "+heading+"\n")
	require.True(t, ok, "no section %q", heading)
	text, _, _ := strings.Cut(after, "\n## ")
	return text
}

// The page must have a row "| `path` | `default` | meaning |" for each field, and no
// other rows.
func TestSettingsPageListsEveryFieldWithItsDefault(t *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	var entry EntrySettings
	var planner PlannerSettings
	var control ControlSettings
	var relay RelaySettings
	entry.SetDefaults()
	planner.SetDefaults()
	control.SetDefaults()
	relay.SetDefaults()
	for heading, settings := range map[string]any{
		"buckthornpick-entry": entry, "buckthornpick-planner": planner, "bpctl": control,
		"buckthornpick-relay": relay,
	} {
		fields := map[string]string{}
		leafFields("", reflect.ValueOf(settings), fields)
		documented := map[string]string{}
		for line := range strings.Lines(section(t, string(data), heading)) {
			cells := strings.Split(line, "|")
			if len(cells) == 5 && strings.HasPrefix(cells[1], " `") {
				require.NotEmpty(t, strings.TrimSpace(cells[3]), line)
				documented[strings.Trim(cells[1], " `")] = strings.Trim(cells[2], " `")
			}
		}
		require.Equal(t, fields, documented, heading)
	}
}
