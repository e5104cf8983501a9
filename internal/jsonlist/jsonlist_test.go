package jsonlist

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type entry struct {
	Name string `json:"name"`
	Port int    `json:"port"`
}

func TestOddElementsCostThemselvesOnly(t *testing.T) {
	const depth = 300_000
	for name, odd := range map[string]string{
		"nested": strings.Repeat("[", depth) + strings.Repeat("]", depth), "nested field": `{"name":"x","more":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + "}",
		"number too large": `{"name":"x","port":1e999}`, "whole number too large": `{"name":"x","port":99999999999999999999}`, "fraction": `{"name":"x","port":0.5}`,
		"other type": `{"name":7}`, "text": `"],{[\"\\"`, "number": "7", "list": "[1,[2],{}]", "true": "true",
	} {
		t.Run(name, func(t *testing.T) {
			for _, at := range []string{`ODD,{"name":"a"},{"name":"b"}`, `{"name":"a"} , ODD , {"name":"b"}`, `{"name":"a"},{"name":"b"},ODD`} {
				data := `{"other":[1,{"list":2}], "list" : [` + strings.Replace(at, "ODD", odd, 1) + `],"more":` + strings.Repeat("[", 5) + strings.Repeat("]", 5) + `}`
				list, dropped, err := Decode[entry]([]byte(data), "list")
				require.NoError(t, err)
				require.Equal(t, []entry{{Name: "a"}, {Name: "b"}}, list)
				require.Equal(t, 1, dropped)
			}
		})
	}
}

func TestDocumentsThatAreNotWholeAreErrors(t *testing.T) {
	const data = `{"list":[{"name":"a","port":1},{"name":"b","port":1e999}],"more":{}}`
	list, dropped, err := Decode[entry]([]byte(data), "list")
	require.NoError(t, err)
	require.Equal(t, []entry{{"a", 1}}, list)
	require.Equal(t, 1, dropped)
	for length := range len(data) {
		_, _, err := Decode[entry]([]byte(data[:length]), "list")
		require.Error(t, err, data[:length])
	}
	for _, text := range []string{"", "null ", "[]", "7", `{"list":7}`, `{"list":{}}`, "{} {"} {
		list, _, err := Decode[entry]([]byte(text), "list")
		if err == nil {
			require.Empty(t, list, text)
		}
	}
	list, _, err = Decode[entry]([]byte(`{"other":1}`), "list")
	require.NoError(t, err)
	require.Empty(t, list)
}
