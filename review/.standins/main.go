//go:build review

// Command standins plays one case of the review: it starts relay processes and stand-ins of
// the platform, the engines and the clients, and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RELAY RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	s, err := newSite(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(2)
	}()
	broken, err := play(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		s.close()
		os.Exit(2)
	}
	s.logf("rule broken: %v", broken)
	s.close()
	if broken {
		os.Exit(1)
	}
}
