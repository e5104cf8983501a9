// Package jsonlist decodes lists in JSON element by element, so that an element that cannot be
// decoded costs only itself. encoding/json gives up a whole document for one element that is
// nested too deeply, and returns an error for one with a number too large.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
)

// Decode decodes the elements of the list in the field name of an object. It leaves out those
// that cannot be decoded, and returns their number. An absent field or null is an empty list; any
// other value, and data that is not JSON, is an error.
func Decode[T any](data []byte, name string) (list []T, dropped int, err error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) == nil {
		if len(fields[name]) == 0 || json.Unmarshal(fields[name], &list) == nil {
			return list, 0, nil
		}
	}
	elements, err := elementsOf(data, name)
	list = nil
	for _, element := range elements {
		var value T
		if json.Unmarshal(element, &value) == nil {
			list = append(list, value)
		} else {
			dropped++
		}
	}
	return list, dropped, err
}

var errNoList = errors.New("no list in an object")

// elementsOf returns the elements of the list in the field name of an object, of any depth. The
// result is not valid after an error.
func elementsOf(data []byte, name string) ([]json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber() // no number is too large
	if token, err := dec.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.Join(err, errNoList)
	}
	var elements []json.RawMessage
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, err
		}
		if key != name {
			if _, err := skipValue(dec, data); err != nil {
				return nil, err
			}
			continue
		}
		if token, err := dec.Token(); err != nil || token != json.Delim('[') {
			return nil, errors.Join(err, errNoList)
		}
		for elements = nil; dec.More(); {
			element, err := skipValue(dec, data)
			if err != nil {
				return nil, err
			}
			elements = append(elements, element)
		}
		if _, err := dec.Token(); err != nil { // the end of the list
			return nil, err
		}
	}
	_, err := dec.Token() // the end of the object
	return elements, err
}

// skipValue reads the next value, and returns it.
func skipValue(dec *json.Decoder, data []byte) (json.RawMessage, error) {
	start := dec.InputOffset()
	for depth := 0; ; {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(data[start:dec.InputOffset()], ",: \t\r\n"), nil
		}
	}
}
