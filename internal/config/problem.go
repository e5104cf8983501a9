package config

import (
	"fmt"
	"strings"
)

// Problem is one validation error in a settings file or document.
type Problem struct {
	// File and Line locate the problem; Line is 0 if it is not known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the path of the field, such as "rules[2].then.service".
	Field string `json:"field"`
	// Name is the name of the rule, service or organisation that contains the
	// field, if it has one.
	Name string `json:"name,omitempty"`
	// Message describes the problem and the expected value.
	Message string `json:"message"`
}

// String returns "file:line: field (name): message".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field)
		if p.Name != "" {
			fmt.Fprintf(&b, " (%q)", p.Name)
		}
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is an error that lists every problem found.
type Problems []Problem

// Error implements error; it returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(field, name, format string, args ...any) {
	*ps = append(*ps, Problem{Field: field, Name: name, Message: fmt.Sprintf(format, args...)})
}
