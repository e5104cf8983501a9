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

// adminToken is the operators' token of a site that is left up.
const adminToken = "dev"

// serveAdmin opens an admin listener for each entry until ctx ends and returns
// their base URLs.
func serveAdmin(ctx context.Context, s *site.Site) ([]string, error) {
	var urls []string
	for _, e := range s.Entries() {
		p := &cli.Process{Log: telemetry.Discard(), Metrics: e.Registry}
		node := config.NodeSettings{ID: e.ID, Zone: e.Zone, Region: "dev"}
		handler := entryd.Pages(node, false, adminToken, e.Node, e.Stop, p)
		server, err := cli.ListenAdmin(netx.TCP{}, "127.0.0.1:0", nil, handler, p.Log)
		if err != nil {
			return nil, err
		}
		go func() { _ = server.Run(ctx) }()
		urls = append(urls, "http://"+server.Address())
	}
	return urls, nil
}

// printOperators prints calls of the operators' tool that work as pasted.
func printAdminExamples(out io.Writer, urls []string) {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	say("Change a rule (the operators' token is %q):\n", adminToken)
	say("echo %s > /tmp/bp-token", adminToken)
	say("alias bpctl='./bin/bpctl --token-file /tmp/bp-token %s'", urlFlags(urls))
	say("bpctl status")
	say("bpctl get > /tmp/site.json    # edit it")
	say("bpctl diff /tmp/site.json")
	say("bpctl apply /tmp/site.json")
	say("bpctl wait\n")
	say("Metrics: curl %s/metrics", urls[0])
}

func urlFlags(urls []string) string {
	text := ""
	for _, u := range urls {
		text += "--url " + u + " "
	}
	return text
}
