package rules

import (
	"fmt"
	"testing"

	"buckthornpick/internal/config"
)

// BenchmarkMatch measures requests that only the last of n rules matches.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("rules=", n), func(b *testing.B) {
			var list []config.Rule
			for i := range n - 1 {
				list = append(list, config.Rule{Name: fmt.Sprint("r", i),
					When: config.When{Services: []string{"s1"}, Organisations: []string{fmt.Sprint("o", i)}}, Then: routeTo("s1")})
			}
			then := routeTo("s1")
			then.OlderSystemShare = 0.5
			set := newSet(append(list, config.Rule{Name: "rest", Then: then}))
			in := Input{Organisation: "other", Service: "s1", RequestID: "0123456789abcdef", Now: noon}
			b.ReportAllocs()
			for b.Loop() {
				if set.Match(in).Rule != n-1 {
					b.Fatal("another rule matched")
				}
			}
		})
	}
}

// BenchmarkCompile measures checking and compiling n rules that do not cover each
// other.
func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("rules=", n), func(b *testing.B) {
			var list []config.Rule
			for i := range n {
				list = append(list, config.Rule{Name: fmt.Sprint("r", i),
					When: config.When{Organisations: []string{"o1"}, MinPromptTokens: n - i}, Then: routeTo("s1")})
			}
			doc := testDocument(list...)
			for b.Loop() {
				if _, err := Compile(doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
