package control

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// printer writes results as text or JSON.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(c *cli.Command) *printer {
	return &printer{w: c.Root().Writer, json: c.String("output") == "json"}
}

func (p *printer) line(format string, args ...any) error {
	_, err := fmt.Fprintf(p.w, format+"\n", args...)
	return err
}

// result writes v as JSON if JSON output is selected, otherwise it calls text.
func (p *printer) result(v any, text func() error) error {
	if !p.json {
		return text()
	}
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table writes rows in aligned columns; the first row is the header.
func (p *printer) table(rows [][]string) error {
	w := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}
