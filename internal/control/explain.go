package control

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/urfave/cli/v3"

	"buckthornpick/internal/admin"
	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/config"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show which rule decides a sample request, and why the earlier ones do not",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "read the sample from `FILE` (JSON with comments) instead of the flags"},
			&cli.StringFlag{Name: "document", Usage: "explain the document in `FILE` instead of the one in force"},
			&cli.StringFlag{Name: "org", Usage: "organisation"},
			&cli.StringFlag{Name: "service", Usage: "service that is asked for"},
			&cli.StringFlag{Name: "model", Usage: "model that is asked for"},
			&cli.StringFlag{Name: "kind", Value: "chat", Usage: "chat, completion or plain"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "length of the prompt"},
			&cli.BoolFlag{Name: "non-repeatable", Usage: "the request must run at most once"},
			&cli.StringFlag{Name: "priority", Usage: "high, normal or low"},
			&cli.StringFlag{Name: "context", Usage: "any text that names the conversation"},
			&cli.StringFlag{Name: "context-hash", Usage: "`HEX` hash of a live request's context; goes before --context"},
			&cli.StringFlag{Name: "zone", Usage: "availability zone; default that of the entry"},
			&cli.StringFlag{Name: "host", Usage: "host that the caller names"},
			&cli.StringFlag{Name: "path", Usage: "path of the call"},
			&cli.TimestampFlag{Name: "now", Usage: "`TIME` of the request, such as 2026-01-31T22:00:00Z; default the present",
				Config: cli.TimestampConfig{Layouts: []string{"2006-01-02T15:04:05Z07:00"}}},
			&cli.FloatFlag{Name: "load", Usage: "load of the service, 0 to 1 and above"},
			&cli.FloatFlag{Name: "price", Usage: "price of the service's cheapest live server per hour"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	sample, err := readSample(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := client.Explain(ctx, sample)
	if err != nil {
		return withExitCode(err)
	}
	p := newPrinter(c)
	return p.result(answer, func() error { return printExplain(p, answer) })
}

func readSample(c *cli.Command) (admin.ExplainRequest, error) {
	repeatable := !c.Bool("non-repeatable")
	sample := admin.ExplainRequest{
		Organisation: c.String("org"), Service: c.String("service"), Model: c.String("model"),
		Kind: c.String("kind"), PromptTokens: c.Int("prompt-tokens"), Repeatable: &repeatable,
		Priority: c.String("priority"), Context: c.String("context"),
		ContextHash: c.String("context-hash"), Zone: c.String("zone"),
		Host: c.String("host"), Path: c.String("path"),
		Load: c.Float("load"), Price: c.Float("price"),
	}
	if now := c.Timestamp("now"); !now.IsZero() {
		sample.Now = &now
	}
	if file := c.String("file"); file != "" {
		var err error
		if sample, err = config.Load[admin.ExplainRequest](file); err != nil {
			return sample, bpcli.WithExitCode(bpcli.ExitSettings, err)
		}
	}
	if file := c.String("document"); file != "" {
		doc, err := config.Load[config.Document](file)
		if err != nil {
			return sample, bpcli.WithExitCode(bpcli.ExitSettings, err)
		}
		sample.Document = &doc
	}
	return sample, nil
}

func printExplain(p *printer, answer *admin.ExplainAnswer) error {
	for _, s := range answer.Steps {
		text := "matches"
		if !s.Matched {
			text = "does not match: " + strings.Join(s.Reasons, "; ")
		}
		if err := p.line("rule %d %q %s", s.Rule, s.Name, text); err != nil {
			return err
		}
	}
	then, err := json.Marshal(answer.Then)
	if err != nil {
		return err
	}
	if answer.Rule < 0 {
		return p.line("no rule matches: %s", then)
	}
	if answer.OlderSystem {
		return p.line("outcome: %s, by the older system", then)
	}
	return p.line("outcome: %s", then)
}
