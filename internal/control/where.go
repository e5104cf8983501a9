package control

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/where"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name: "where", Usage: "show where a relay would send a request now, and why, without sending it; --url is the relay's metrics listener",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "method", Value: "POST", Usage: "HTTP method"},
			&cli.StringFlag{Name: "host", Usage: "host that the caller names"},
			&cli.StringFlag{Name: "path", Usage: "path of the call, with its query"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME: VALUE` of a header; may be given several times"},
		},
		Action: askWhere,
	}
}

func askWhere(ctx context.Context, c *cli.Command) error {
	question := where.Request{Method: c.String("method"), Host: c.String("host"), URI: c.String("path"), Header: map[string]string{}}
	for _, line := range c.StringSlice("header") {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return bpcli.UsageError("expected NAME: VALUE, got %q", line)
		}
		question.Header[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := client.Where(ctx, question)
	if err != nil {
		return withExitCode(err)
	}
	p := newPrinter(c)
	return p.result(answer, func() error { return printWhere(p, answer) })
}

func printWhere(p *printer, a *where.Answer) error {
	lines := []string{
		fmt.Sprintf("entry:        %s in %s, document %d confirmed %d ms ago", a.Entry, a.Zone, a.DocumentRevision, a.DocumentAgeMillis),
		fmt.Sprintf("rule:         %s, service %s, organisation %s", a.Rule, a.Service, a.Organisation),
	}
	if a.QuotaCost > 0 {
		lines = append(lines, fmt.Sprintf("quota:        %.0f of %.0f spent in the window, the request costs %.0f", a.QuotaSpent, a.QuotaLimit, a.QuotaCost))
	}
	if a.Refusal != "" {
		lines = append(lines, fmt.Sprintf("refused:      %d %s, retry after %d ms", a.Status, a.Refusal, a.RetryAfterMillis))
	} else {
		lines = append(lines, fmt.Sprintf("server:       %s (%s)", a.Server, a.Reason))
	}
	for _, note := range a.Notes {
		lines = append(lines, "note:         "+note)
	}
	if err := p.line("%s", strings.Join(lines, "\n")); err != nil || len(a.Candidates) == 0 {
		return err
	}
	rows := [][]string{{"SERVER", "ZONE", "VERSION", "COST MS", "FIRST TOKEN", "RECOMPUTE", "CACHED", "REQUESTS", "SLOWNESS", "STATED MS AGO", "SPEED", "LIMIT"}}
	for _, s := range a.Candidates {
		rows = append(rows, []string{
			s.Server, s.Zone, s.Version, fmt.Sprintf("%.1f", s.Total), fmt.Sprintf("%.1f", s.FirstToken), fmt.Sprintf("%.1f", s.Recompute),
			fmt.Sprint(s.CachedTokens), fmt.Sprintf("%.0f", s.Requests), fmt.Sprintf("%.2f", s.Slowness), fmt.Sprint(s.StatedAgeMillis), fmt.Sprintf("%.2f", s.Speed), fmt.Sprint(s.Limit),
		})
	}
	return p.table(rows)
}
