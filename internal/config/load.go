package config

import (
	"encoding/json"
	"os"
	"reflect"

	"github.com/tailscale/hujson"

	"buckthornpick/internal/fault"
)

// MaxFileBytes is the maximum size of a settings file or document on disk.
const MaxFileBytes = 4 << 20

// defaulter is implemented by settings with default values.
type defaulter interface{ SetDefaults() }

// validator is implemented by settings that validate their values.
type validator interface{ Validate() Problems }

// Load decodes a file of JSON with comments into a T. Unknown fields and fields
// of the wrong type are errors. SetDefaults of *T, if it exists, is called before
// decoding, Validate after it. The error is of type fault.Invalid if the file
// cannot be read, and Problems if its content is invalid.
func Load[T any](path string) (T, error) {
	var zero T
	info, err := os.Stat(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.Invalid, "config.load", "", "cannot read settings")
	}
	if info.Size() > MaxFileBytes {
		return zero, fault.New(fault.Invalid, "config.load", "",
			"%s has %d bytes, more than the limit of %d", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.Invalid, "config.load", "", "cannot read settings")
	}
	return Decode[T](path, data)
}

// Decode does the same as Load for data in memory. name is the File of the
// problems.
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

// addLocations sets the file and the line of each problem.
func addLocations(c *schemaChecker, name string, ps Problems) Problems {
	for i := range ps {
		ps[i].File = name
		if ps[i].Line == 0 {
			ps[i].Line = c.lineOfField(ps[i].Field)
		}
	}
	return ps
}
