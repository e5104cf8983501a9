package devsite

import (
	"context"
	"fmt"
	"io"

	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/entryd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
)

// adminToken is the operators' token of a site that runs under `serve`.
const adminToken = "dev"

// serveAdmin opens an admin listener for each entry and returns their base URLs.
// The listeners close when ctx ends.
func serveAdmin(ctx context.Context, s *site.Site) ([]string, error) {
	var urls []string
	for _, e := range s.Entries() {
		p := &cli.Process{Log: telemetry.Discard(), Metrics: e.Registry}
		node := config.NodeSettings{ID: e.ID, Zone: e.Zone, Region: "dev"}
		handler := entryd.AdminHandler(node, false, adminToken, e.Node, e.Stop, p)
		server, err := cli.ListenAdmin(netx.TCP{}, "127.0.0.1:0", nil, handler, p.Log)
		if err != nil {
			return nil, err
		}
		go func() { _ = server.Run(ctx) }()
		urls = append(urls, "http://"+server.Address())
	}
	return urls, nil
}

// printAdminExamples prints example commands of the operators' tool bpctl, which
// can be pasted into a shell.
func printAdminExamples(out io.Writer, urls []string) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printf("Change a rule (the operators' token is %q):\n", adminToken)
	printf("echo %s > /tmp/bp-token", adminToken)
	printf("alias bpctl='./bin/bpctl --token-file /tmp/bp-token %s'", urlFlags(urls))
	printf("bpctl status")
	printf("bpctl get > /tmp/site.json    # edit it")
	printf("bpctl diff /tmp/site.json")
	printf("bpctl apply /tmp/site.json")
	printf("bpctl wait\n")
	printf("Metrics: curl %s/metrics", urls[0])
	printf("What callers hold of an entry's memory: curl -s %s/metrics | grep _memory_", urls[0])
}

// urlFlags returns one --url flag of bpctl per URL.
func urlFlags(urls []string) string {
	text := ""
	for _, u := range urls {
		text += "--url " + u + " "
	}
	return text
}
