// Command buckthornpick-slopes measures how the cost of the control plane grows
// with the size of a site, prints a table and exits.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"buckthornpick/internal/slopes"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "buckthornpick-slopes",
		Usage: "measure how the cost of control grows with nodes, servers, requests and changes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "scenarios; default all"},
			&cli.IntSliceFlag{Name: "nodes", Usage: "numbers of entry nodes"},
			&cli.IntSliceFlag{Name: "servers", Usage: "numbers of backend servers"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	series, err := slopes.Run(ctx, slopes.Options{
		Nodes: c.IntSlice("nodes"), Servers: c.IntSlice("servers"), Only: c.StringSlice("only"), Progress: os.Stderr,
	})
	write := slopes.WriteText
	if c.Bool("json") {
		write = slopes.WriteJSON
	}
	if writeErr := write(os.Stdout, series); err == nil {
		err = writeErr
	}
	return err
}
