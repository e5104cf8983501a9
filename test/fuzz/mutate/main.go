// Command mutate writes a mutant of the system for `go test -overlay`: a copy
// of one source file with one deliberate bug, and an overlay file that replaces
// the original by it. The sources themselves are not changed.
//
//	go run ./test/fuzz/mutate -list
//	go run ./test/fuzz/mutate -out /tmp/m -name minted-kept
//	go test -overlay /tmp/m/overlay.json -run TestMutant ./test/fuzz
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// mutant is one deliberate bug: every occurrence of From in File is replaced by
// To.
type mutant struct {
	Name, File, From, To string
}

var mutants = []mutant{
	{"minted-kept", "internal/entry/follow.go", "again.HasGeneratedKey = false", "again.HasGeneratedKey = true"},
	{"sequence-unchecked", "internal/request/record.go", "if ev.Sequence != len(r.events)+1 {", "if false {"},
	{"attempt-unchecked", "internal/request/record.go", "attempt != r.attempt {", "false {"},
	{"transfer-twice", "internal/dispatch/handover.go", "if rec, ok := d.records[t.Request.ID]; ok && rec.State() != request.HandedOver {", "if false {"},
	{"both-sides-run", "internal/dispatch/handover.go", "e.interruptRequest(errHandedOver)", "_ = errHandedOver"},
	{"claim-not-looked-up", "internal/dispatch/claims.go", "if e.req.Repeatable || e.req.HasGeneratedKey {", "if true {"},
	{"claim-conflict-ignored", "internal/dispatch/claims.go", "if err == nil || e.startUnclaimed(a, err) {", "if true {"},
	{"not-run-after-loss", "internal/dispatch/execution.go", "if e.mayHaveRun || e.mayHaveRunEarlier || !e.knowsEarlierSubmissions() {", "if false {"},
	{"revision-unchecked", "internal/confstore/store.go", "return doc.Revision > current.Revision", "return doc.Revision != current.Revision"},
	{"resume-from-start", "internal/dispatch/recover.go", "a.id, len(e.rec.Events()))", "a.id, 0)"},
	{"document-silent", "internal/confstore/watch.go", "func (s *Store) Run(ctx context.Context) error {", "func (s *Store) Run(ctx context.Context) error {\n\t<-ctx.Done()"},
	{"key-unknown-is-not-run", "internal/gateway/gateway.go", "return request.Unknown", "return request.NotRun"},
}

func main() {
	list := flag.Bool("list", false, "print the names of the mutants")
	name := flag.String("name", "", "the mutant to write")
	out := flag.String("out", "", "the directory to write to")
	flag.Parse()
	if *list {
		for _, m := range mutants {
			fmt.Println(m.Name)
		}
		return
	}
	if err := write(*name, *out); err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// write writes the mutant with the given name and its overlay file into the
// directory out.
func write(name, out string) error {
	for _, m := range mutants {
		if m.Name == name {
			return m.write(out)
		}
	}
	return errors.New("unknown mutant " + name)
}

func (m mutant) write(out string) error {
	source, err := os.ReadFile(m.File)
	if err != nil {
		return err
	}
	if !strings.Contains(string(source), m.From) {
		return fmt.Errorf("%s: %s does not contain %q", m.Name, m.File, m.From)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	path, err := filepath.Abs(filepath.Join(out, filepath.Base(m.File)))
	if err != nil {
		return err
	}
	mutated := strings.ReplaceAll(string(source), m.From, m.To)
	if err := os.WriteFile(path, []byte(mutated), 0o644); err != nil {
		return err
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		return err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: path}})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(out, "overlay.json"), overlay, 0o644)
}
