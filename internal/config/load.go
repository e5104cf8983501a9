package config

import (
	"encoding/json"
	"os"
	"reflect"

	"github.com/tailscale/hujson"

	"buckthornpick/internal/fault"
)

// MaxFileBytes bounds settings files and documents that are read from disk.
const MaxFileBytes = 4 << 20

// defaulter is implemented by settings that have defaults.
type defaulter interface{ SetDefaults() }

// validator is implemented by settings that check their values.
type validator interface{ Validate() Problems }

// Load reads a file of JSON with comments into a T. Unknown and wrong fields
// are errors. If *T has SetDefaults it is called before reading, if it has
// Validate it is called after. The error is fault.Invalid if the file cannot
// be read and Problems, one for each fault, if its content is wrong.
func Load[T any](path string) (T, error) {
	var zero T
	info, err := os.Stat(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.Invalid, "config.load", "", "cannot read settings")
	}
	if info.Size() > MaxFileBytes {
		return zero, fault.New(fault.Invalid, "config.load", "",
			"%s has %d bytes, at most %d are read", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.Invalid, "config.load", "", "cannot read settings")
	}
	return Decode[T](path, data)
}

// Decode is Load for data that is already read; name appears in the problems.
func Decode[T any](name string, data []byte) (T, error) {
	var target T
	if d, ok := any(&target).(defaulter); ok {
		d.SetDefaults()
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return target, syntaxProblem(name, err)
	}
	c := newSchemaChecker(data)
	c.checkValue(root, reflect.TypeFor[T](), "")
	if len(c.problems) > 0 {
		return target, addLocations(c, name, c.problems)
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), &target); err != nil {
		return target, Problems{{File: name, Message: err.Error()}}
	}
	if v, ok := any(&target).(validator); ok {
		if ps := v.Validate(); len(ps) > 0 {
			return target, addLocations(c, name, ps)
		}
	}
	return target, nil
}

// locate adds the file and the line of each problem's field.
func addLocations(c *schemaChecker, name string, ps Problems) Problems {
	for i := range ps {
		ps[i].File = name
		if ps[i].Line == 0 {
			ps[i].Line = c.lineOfField(ps[i].Field)
		}
	}
	return ps
}
