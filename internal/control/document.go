package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"buckthornpick/internal/admin"
	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/config"
)

const defaultHistoryLimit = 20

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "propose the document in FILE", ArgsUsage: "FILE",
		Description: "The change is based on the revision in FILE, as written by get, or on --revision.\n" +
			"Exit code 4: another change came first. Exit code 5: the outcome is not known;\n" +
			"run the same command with the printed --operation-id to know.",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "revision", Value: -1, Usage: "base the change on revision `N`"},
			&cli.StringFlag{Name: "operation-id", Usage: "`ID` of the change; default a new one"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	doc, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	expected := doc.Revision
	if n := c.Int64("revision"); n >= 0 {
		expected = n
	}
	operationID := c.String("operation-id")
	if operationID == "" {
		operationID = uuid.NewString()
	}
	answer, err := client.Apply(ctx, &doc, expected, operationID)
	if err != nil {
		return printApplyFailure(c, withChangeExitCode(err), operationID, expected)
	}
	p := newPrinter(c)
	return p.result(answer, func() error { return p.line("accepted: revision %d", answer.Revision) })
}

// printApplyFailure prints how the operator can proceed after a failed change,
// and returns err.
func printApplyFailure(c *cli.Command, err error, operationID string, expected int64) error {
	p := newPrinter(c)
	var answer *admin.APIError
	if p.json {
		if errors.As(err, &answer) {
			_ = p.result(answer.Answer, nil)
		}
		return err
	}
	switch bpcli.ExitCode(err) {
	case ExitUnknown:
		_ = p.line("outcome unknown; to find out, run again with --revision %d --operation-id %s", expected, operationID)
	case ExitConflict:
		if errors.As(err, &answer) {
			_ = p.line("differences from revision %d to your document:", answer.Answer.Revision)
			_ = printDiff(p, answer.Answer.Diff)
		}
	}
	return err
}

func getCommand() *cli.Command {
	return &cli.Command{Name: "get", Usage: "print the document in force", Action: get}
}

func get(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	doc, err := client.Document(ctx)
	if err != nil {
		return withExitCode(err)
	}
	return (&printer{w: c.Root().Writer, json: true}).result(doc, nil)
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare the document in force with FILE", ArgsUsage: "FILE",
		Description: "Exit code 7: they differ.", Action: diff,
	}
}

func diff(ctx context.Context, c *cli.Command) error {
	doc, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	current, err := client.Document(ctx)
	if err != nil {
		return withExitCode(err)
	}
	changes := config.Diff(current, &doc)
	p := newPrinter(c)
	if err := p.result(changes, func() error { return printDiff(p, changes) }); err != nil {
		return err
	}
	if len(changes) > 0 {
		return bpcli.WithExitCode(ExitDiffers, fmt.Errorf("%d differences from revision %d", len(changes), current.Revision))
	}
	return nil
}

func printDiff(p *printer, changes []config.Difference) error {
	for _, d := range changes {
		if err := p.line("%s", d); err != nil {
			return err
		}
	}
	return nil
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list accepted changes, the latest first",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: defaultHistoryLimit, Usage: "at most `N` changes"}},
		Action: history,
	}
}

func history(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := client.History(ctx, c.Int("limit"))
	if err != nil {
		return withExitCode(err)
	}
	p := newPrinter(c)
	return p.result(answer, func() error {
		rows := [][]string{{"REVISION", "TIME", "AUTHOR", "NODE", "OPERATION"}}
		for _, e := range answer.Entries {
			rows = append(rows, []string{
				strconv.FormatInt(e.Revision, 10), e.Time.Format(time.RFC3339), e.Author, e.Node, e.OperationID,
			})
		}
		return p.table(rows)
	})
}
