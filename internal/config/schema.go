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

// schemaChecker checks a JSON syntax tree against a Go type and records every
// mismatch as a problem.
type schemaChecker struct {
	data     []byte
	problems Problems
	// lines maps field paths to line numbers.
	lines map[string]int
}

func newSchemaChecker(data []byte) *schemaChecker {
	return &schemaChecker{data: data, lines: map[string]int{}}
}

// lineAt returns the line number of a byte offset.
func (c *schemaChecker) lineAt(offset int) int {
	return 1 + bytes.Count(c.data[:min(offset, len(c.data))], []byte{'\n'})
}

// lineOfField returns the line of the field, or of its nearest parent that is
// present in the file.
func (c *schemaChecker) lineOfField(field string) int {
	for field != "" {
		if n, ok := c.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return c.lines[""]
}

func (c *schemaChecker) report(offset int, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Line: c.lineAt(offset), Field: path, Message: fmt.Sprintf(format, args...),
	})
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// checkValue checks v against t and records the line of path.
func (c *schemaChecker) checkValue(v hujson.Value, t reflect.Type, path string) {
	c.lines[path] = c.lineAt(v.StartOffset)
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		c.checkUnmarshaler(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		if literalText(v) != "null" {
			c.checkValue(v, t.Elem(), path)
		}
	case reflect.Struct:
		c.checkObject(v, t, path)
	case reflect.Slice:
		// encoding/json writes a nil slice as null.
		if literalText(v) != "null" {
			c.checkArray(v, t, path)
		}
	default:
		c.checkScalar(v, t, path)
	}
}

// checkUnmarshaler checks v by decoding it with the UnmarshalJSON method of t.
func (c *schemaChecker) checkUnmarshaler(v hujson.Value, t reflect.Type, path string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), reflect.New(t).Interface()); err != nil {
		c.report(v.StartOffset, path, "%v", err)
	}
}

func (c *schemaChecker) checkObject(v hujson.Value, t reflect.Type, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v.StartOffset, path, "expected an object, got %s", describe(v))
		return
	}
	known := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, name)
		field, ok := known[name]
		switch {
		case seen[name]:
			c.report(m.Name.StartOffset, fieldPath, "field is given twice")
		case !ok:
			c.report(m.Name.StartOffset, fieldPath, "unknown field; expected one of %s", fieldNames(known))
		default:
			c.checkValue(m.Value, field, fieldPath)
		}
		seen[name] = true
	}
}

func (c *schemaChecker) checkArray(v hujson.Value, t reflect.Type, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.report(v.StartOffset, path, "expected an array, got %s", describe(v))
		return
	}
	for i, e := range a.Elements {
		c.checkValue(e, t.Elem(), path+"["+strconv.Itoa(i)+"]")
	}
}

func (c *schemaChecker) checkScalar(v hujson.Value, t reflect.Type, path string) {
	expected, ok := "", false
	text := literalText(v)
	lit, isLiteral := v.Value.(hujson.Literal)
	switch t.Kind() {
	case reflect.String:
		expected, ok = "a string", isLiteral && lit.Kind() == '"'
	case reflect.Bool:
		expected, ok = "true or false", text == "true" || text == "false"
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(text, 10, 64)
		expected, ok = "a whole number", err == nil
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		expected, ok = "a number", err == nil && !math.IsInf(f, 0) && isLiteral && lit.Kind() == '0'
	default:
		expected = "a value of type " + t.String() + ", which files cannot hold"
	}
	if !ok {
		c.report(v.StartOffset, path, "expected %s, got %s", expected, describe(v))
	}
}

// jsonFields returns the types of a struct's fields by JSON name.
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

// literalText returns the JSON text of a literal, or "" for any other value.
func literalText(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return string(lit)
	}
	return ""
}

// describe returns the text of a literal, shortened, or the kind of any other
// value.
func describe(v hujson.Value) string {
	const maxLength = 40
	switch x := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(x) > maxLength {
			return string(x[:maxLength]) + "..."
		}
		return string(x)
	}
	return "nothing"
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var syntaxErrorPattern = regexp.MustCompile(`line (\d+), column \d+: (.*)`)

// syntaxProblem converts an error of the parser to a Problem with its line number.
func syntaxProblem(name string, err error) error {
	p := Problem{File: name, Message: err.Error()}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = "expected JSON with comments: " + m[2]
	}
	return Problems{p}
}
