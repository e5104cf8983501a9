package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/admin"
	bpcli "buckthornpick/internal/cli"
)

const (
	defaultWaitTimeout = 30 * time.Second
	waitPollInterval   = 250 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls to nodes.
	maxParallelCalls = 16
)

// nodeReport is the revision in force at one node, or why it is not known.
type nodeReport struct {
	URL      string `json:"url"`
	Node     string `json:"node,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Revision int64  `json:"revision"`
	// Err is the reason why the node did not respond, empty if it did.
	Err string `json:"error,omitempty"`
}

func waitCommand() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until every node has a revision in force",
		Description: "Asks every admin URL of the settings and of the members that they list.\n" +
			"Exit code 6: some node does not have the revision, or gave no answer, at the timeout.",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "revision", Usage: "wait for revision `N` or a later one; default the one in force"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWaitTimeout, Usage: "give up after `TIME`"},
		},
		Action: wait,
	}
}

func wait(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	wanted, err := wantedRevision(ctx, c, client)
	if err != nil {
		return err
	}
	poll := time.NewTicker(waitPollInterval)
	defer poll.Stop()
	var latest []nodeReport
	for {
		reports := queryAllNodes(ctx, client)
		if ctx.Err() == nil {
			latest = reports
		}
		missing := countBehind(latest, wanted)
		if missing == 0 && len(latest) > 0 {
			return printReports(c, latest)
		}
		select {
		case <-ctx.Done():
			_ = printReports(c, latest)
			return bpcli.WithExitCode(ExitTimeout, fmt.Errorf("%d of %d nodes are not known to have revision %d", missing, len(latest), wanted))
		case <-poll.C:
		}
	}
}

// wantedRevision returns the revision to wait for: that of the flag if set,
// otherwise the latest that any node has.
func wantedRevision(ctx context.Context, c *cli.Command, client *admin.Client) (int64, error) {
	if c.IsSet("revision") {
		return c.Int64("revision"), nil
	}
	var latest int64
	for _, r := range queryAllNodes(ctx, client) {
		latest = max(latest, r.Revision)
	}
	if latest == 0 {
		return 0, errors.New("no node has a document yet")
	}
	return latest, nil
}

// countBehind returns the number of nodes that did not respond or have a
// revision lower than wanted.
func countBehind(reports []nodeReport, wanted int64) int {
	n := 0
	for _, r := range reports {
		if r.Err != "" || r.Revision < wanted {
			n++
		}
	}
	return n
}

// queryAllNodes queries the revision at all admin URLs of the settings and of
// the members that these list. It also reports members without an admin URL,
// unless they responded at a URL of the settings.
func queryAllNodes(ctx context.Context, client *admin.Client) []nodeReport {
	urls := slices.Clone(client.URLs())
	members := listMembers(ctx, client)
	for _, m := range members {
		if m.AdminURL != "" && !slices.Contains(urls, m.AdminURL) {
			urls = append(urls, m.AdminURL)
		}
	}
	reports := make([]nodeReport, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, url := range urls {
		group.Go(func() error {
			reports[i] = queryNode(ctx, client, url)
			return nil
		})
	}
	_ = group.Wait()
	for _, m := range members {
		answered := slices.ContainsFunc(reports, func(r nodeReport) bool { return r.Node == m.ID })
		if m.AdminURL == "" && !answered {
			reports = append(reports, nodeReport{Node: m.ID, Zone: m.Zone, Err: "its admin URL is unknown"})
		}
	}
	return dedupeByNode(reports)
}

// dedupeByNode removes all but the first report of a node that responded at
// several URLs.
func dedupeByNode(reports []nodeReport) []nodeReport {
	seen := map[string]bool{}
	return slices.DeleteFunc(reports, func(r nodeReport) bool {
		duplicate := r.Node != "" && seen[r.Node]
		seen[r.Node] = true
		return duplicate
	})
}

func queryNode(ctx context.Context, client *admin.Client, url string) nodeReport {
	answer, err := client.Revision(ctx, url)
	if err != nil {
		return nodeReport{URL: url, Err: err.Error()}
	}
	return nodeReport{URL: url, Node: answer.Node, Zone: answer.Zone, Revision: answer.Revision}
}

// listMembers returns the members that any entry of the settings knows.
func listMembers(ctx context.Context, client *admin.Client) []admin.Member {
	var members []admin.Member
	seen := map[string]bool{}
	for _, url := range client.URLs() {
		status, err := client.Status(ctx, url)
		if err != nil {
			continue
		}
		for _, m := range status.Members {
			if !seen[m.ID] {
				seen[m.ID] = true
				members = append(members, m)
			}
		}
	}
	return members
}

func printReports(c *cli.Command, reports []nodeReport) error {
	p := newPrinter(c)
	return p.result(reports, func() error {
		rows := [][]string{{"NODE", "ZONE", "REVISION", "URL", "ERROR"}}
		for _, r := range reports {
			rows = append(rows, []string{r.Node, r.Zone, strconv.FormatInt(r.Revision, 10), r.URL, r.Err})
		}
		return p.table(rows)
	})
}

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the entries and the revision at each", Action: status}
}

func status(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	reports := queryAllNodes(ctx, client)
	if err := printReports(c, reports); err != nil {
		return err
	}
	if n := countBehind(reports, 0); n > 0 {
		return bpcli.WithExitCode(bpcli.ExitFailure, fmt.Errorf("%d of %d nodes gave no answer", n, len(reports)))
	}
	return nil
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "ask an entry to finish its work and leave", ArgsUsage: "NODE",
		Description: "NODE is the node's ID or the base URL of its admin listener.", Action: drain,
	}
}

func drain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return bpcli.UsageError("expected one argument: the node")
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	url, err := findNode(ctx, client, c.Args().First())
	if err != nil {
		return err
	}
	answer, err := client.Drain(ctx, url)
	if err != nil {
		return withExitCode(err)
	}
	p := newPrinter(c)
	return p.result(answer, func() error { return p.line("%s is draining", answer.Node) })
}

// findNode returns the admin URL of a node given by its ID or by that URL.
func findNode(ctx context.Context, client *admin.Client, node string) (string, error) {
	if strings.Contains(node, "://") {
		return node, nil
	}
	for _, r := range queryAllNodes(ctx, client) {
		if r.Node == node {
			return r.URL, nil
		}
	}
	return "", bpcli.WithExitCode(bpcli.ExitFailure, fmt.Errorf("no node %q answers", node))
}
