package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// checker compares a syntax tree with a Go type and records every difference.
type checker struct {
	data     []byte
	problems Problems
	// lines maps field paths to lines.
	lines map[string]int
}

func newChecker(data []byte) *checker {
	return &checker{data: data, lines: map[string]int{}}
}

func (c *checker) line(offset int) int {
	return 1 + bytes.Count(c.data[:min(offset, len(c.data))], []byte{'\n'})
}

// lineOf returns the line of the field or of its nearest parent that is in
// the file.
func (c *checker) lineOf(field string) int {
	for field != "" {
		if n, ok := c.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return c.lines[""]
}

func (c *checker) report(offset int, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Line: c.line(offset), Field: path, Message: fmt.Sprintf(format, args...),
	})
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// value checks v against t.
func (c *checker) value(v hujson.Value, t reflect.Type, path string) {
	c.lines[path] = c.line(v.StartOffset)
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		c.custom(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		if literal(v) != "null" {
			c.value(v, t.Elem(), path)
		}
	case reflect.Struct:
		c.object(v, t, path)
	case reflect.Slice:
		// Go writes an empty list as null.
		if literal(v) != "null" {
			c.array(v, t, path)
		}
	default:
		c.scalar(v, t, path)
	}
}

func (c *checker) custom(v hujson.Value, t reflect.Type, path string) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), reflect.New(t).Interface()); err != nil {
		c.report(v.StartOffset, path, "%v", err)
	}
}

func (c *checker) object(v hujson.Value, t reflect.Type, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v.StartOffset, path, "expected an object, got %s", describe(v))
		return
	}
	known := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, ok := known[name]
		switch {
		case seen[name]:
			c.report(m.Name.StartOffset, at, "field is given twice")
		case !ok:
			c.report(m.Name.StartOffset, at, "unknown field; expected one of %s", fieldNames(known))
		default:
			c.value(m.Value, field, at)
		}
		seen[name] = true
	}
}

func (c *checker) array(v hujson.Value, t reflect.Type, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.report(v.StartOffset, path, "expected an array, got %s", describe(v))
		return
	}
	for i, e := range a.Elements {
		c.value(e, t.Elem(), path+"["+strconv.Itoa(i)+"]")
	}
}

func (c *checker) scalar(v hujson.Value, t reflect.Type, path string) {
	want, ok := "", false
	text := literal(v)
	lit, isLiteral := v.Value.(hujson.Literal)
	switch t.Kind() {
	case reflect.String:
		want, ok = "a string", isLiteral && lit.Kind() == '"'
	case reflect.Bool:
		want, ok = "true or false", text == "true" || text == "false"
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(text, 10, 64)
		want, ok = "a whole number", err == nil
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		want, ok = "a number", err == nil && !math.IsInf(f, 0) && isLiteral && lit.Kind() == '0'
	default:
		want = "a value of type " + t.String() + ", which files cannot hold"
	}
	if !ok {
		c.report(v.StartOffset, path, "expected %s, got %s", want, describe(v))
	}
}

// jsonFields maps the JSON names of a struct's fields to their types.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

func fieldNames(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func literal(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return string(lit)
	}
	return ""
}

func describe(v hujson.Value) string {
	const longest = 40
	switch x := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(x) > longest {
			return string(x[:longest]) + "..."
		}
		return string(x)
	}
	return "nothing"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var syntaxLine = regexp.MustCompile(`line (\d+), column \d+: (.*)`)

// syntaxProblem turns the parser's error into a Problem with its line.
func syntaxProblem(name string, err error) error {
	p := Problem{File: name, Message: err.Error()}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = "expected JSON with comments: " + m[2]
	}
	return Problems{p}
}
