package devsite

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
)

// Main runs buckthornpick-dev and exits with its status.
func Main() {
	os.Exit(bpcli.Execute(context.Background(), command(), os.Args, os.Stdout, os.Stderr))
}

func command() *cli.Command {
	shared := []cli.Flag{
		&cli.StringFlag{Name: "site", Value: "nilevale", Usage: "one of " + strings.Join(Names(), ", ")},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload"},
		&cli.StringFlag{Name: "log", Usage: "write the entries' logs to `FILE`"},
	}
	return &cli.Command{
		Name:  "buckthornpick-dev",
		Usage: "run a whole small site on loopback",
		Commands: []*cli.Command{
			{Name: "run", Usage: "drive the site's workload with reclaims on the way and report", Action: runAction,
				Flags: append(shared, &cli.DurationFlag{Name: "duration", Usage: "how long requests arrive; default the workload's own"})},
			{Name: "events", Usage: "print the catalogue of log events", Action: eventsAction},
			{Name: "serve", Usage: "leave the site up and print calls to try", Action: serveAction, Flags: shared},
		},
	}
}

// optionsFromFlags returns the options that the command line selects, and a
// function that closes the log file.
func optionsFromFlags(c *cli.Command) (Options, func(), error) {
	p, err := Find(c.String("site"))
	if err != nil {
		return Options{}, nil, bpcli.UsageError("%v", err)
	}
	o := Options{Profile: p, Seed: c.Uint64("seed"), Out: c.Root().Writer, Duration: c.Duration("duration")}
	path := c.String("log")
	if path == "" {
		return o, func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return Options{}, nil, err
	}
	o.Log = func(node, zone string) *telemetry.Logger {
		return telemetry.NewLogger(f, slog.LevelInfo, node, zone)
	}
	return o, func() { _ = f.Close() }, nil
}

func runAction(ctx context.Context, c *cli.Command) error {
	o, cleanup, err := optionsFromFlags(c)
	if err != nil {
		return err
	}
	defer cleanup()
	if err := Run(ctx, o); err != nil {
		return bpcli.WithExitCode(bpcli.ExitFailure, err)
	}
	return nil
}

func serveAction(ctx context.Context, c *cli.Command) error {
	o, cleanup, err := optionsFromFlags(c)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, stop := bpcli.WithSignals(ctx, telemetry.Discard())
	defer stop()
	s, err := Start(ctx, o)
	if err != nil {
		return err
	}
	defer s.Close()
	urls, err := serveAdmin(ctx, s)
	if err != nil {
		return err
	}
	printExamples(o.Out, o.Profile, s.Entries())
	printAdminExamples(o.Out, urls)
	<-ctx.Done()
	return nil
}

// printExamples prints example requests, which can be pasted into a shell.
func printExamples(out io.Writer, p Profile, entries []*site.Entry) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	model := p.Document.Services[0].Models[0]
	key := p.Workload.Callers[0].Key
	printf("The site %s is up; Ctrl-C ends it. %d entries:", p.Name, len(entries))
	for _, e := range entries {
		printf("  %s  %s", e.ID, e.URL)
	}
	printf("\nA streamed chat:\n")
	printf(`curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Idempotency-Key: try-1' \`, entries[0].URL, key)
	printf(`  -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Check my shop"}]}'`, model)
	printf("\nThe same answer from another entry, in one piece as it was sent, from event 20 on:\n")
	printf(`curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Idempotency-Key: try-1' -H 'Last-Event-ID: 20' \`, entries[len(entries)-1].URL, key)
	printf(`  -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Check my shop"}]}'`, model)
	printf("\nA whole answer:\n")
	printf(`curl %s/v1/chat/completions -H 'Authorization: Bearer %s' \`, entries[0].URL, key)
	printf(`  -d '{"model":"%s","max_tokens":20,"messages":[{"role":"user","content":"Suggest a title"}]}'`, model)
	printf("\nA call of the plain service that runs at most once:\n")
	printf(`curl -i -X POST %s/services/%s/exports -H 'Authorization: Bearer %s' -H 'Idempotency-Key: export-1' -d 'October'`,
		entries[0].URL, p.Document.Services[1].Name, key)
	printf("")
}
