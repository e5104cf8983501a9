package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
)

// Difference is one field that differs between two documents. Old is empty for
// an added field, New for a removed one; otherwise both are JSON.
type Difference struct {
	// Field is a path that names rules, services and organisations, such as
	// `rules["night"].then.service`.
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns one line of a diff.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return "+ " + d.Field + ": " + d.New
	case d.New == "":
		return "- " + d.Field + ": " + d.Old
	}
	return "~ " + d.Field + ": " + d.Old + " -> " + d.New
}

// Diff returns the fields that differ from a to b, in the order of their
// paths. Revision and operation ID are left out. A nil document is empty.
func Diff(a, b *Document) []Difference {
	before, after := flatten(a), flatten(b)
	var diff []Difference
	for field, old := range before {
		if after[field] != old {
			diff = append(diff, Difference{Field: field, Old: old, New: after[field]})
		}
	}
	for field, added := range after {
		if _, ok := before[field]; !ok {
			diff = append(diff, Difference{Field: field, New: added})
		}
	}
	sort.Slice(diff, func(i, j int) bool { return diff[i].Field < diff[j].Field })
	return append(diff, ruleOrderDifference(a, b)...)
}

// orderDifference reports a changed order of the rules that both have.
func ruleOrderDifference(a, b *Document) []Difference {
	if a == nil || b == nil {
		return nil
	}
	before, after := commonRules(a, b), commonRules(b, a)
	if slices.Equal(before, after) {
		return nil
	}
	return []Difference{{Field: "rules order", Old: fmt.Sprintf("%q", before), New: fmt.Sprintf("%q", after)}}
}

// commonRules returns the names of a's rules that b has too, in a's order.
func commonRules(a, b *Document) []string {
	var names []string
	for _, r := range a.Rules {
		if slices.ContainsFunc(b.Rules, func(o Rule) bool { return o.Name == r.Name }) {
			names = append(names, r.Name)
		}
	}
	return names
}

// flatten maps the path of each leaf to its JSON.
func flatten(doc *Document) map[string]string {
	leaves := map[string]string{}
	if doc == nil {
		return leaves
	}
	content := *doc
	content.Revision, content.OperationID = 0, ""
	data, err := json.Marshal(content)
	if err != nil {
		return leaves
	}
	var tree map[string]any
	if json.Unmarshal(data, &tree) != nil {
		return leaves
	}
	delete(tree, "revision")
	collectLeaves(leaves, "", tree)
	return leaves
}

func collectLeaves(leaves map[string]string, path string, v any) {
	switch x := v.(type) {
	case map[string]any:
		if len(x) == 0 {
			leaves[path] = "{}"
		}
		for name, child := range x {
			collectLeaves(leaves, joinPath(path, name), child)
		}
	case []any:
		collectListLeaves(leaves, path, x)
	case nil:
	default:
		leaves[path] = encodeLeaf(x)
	}
}

// walkList walks a list of named objects by their names; other lists are
// leaves.
func collectListLeaves(leaves map[string]string, path string, list []any) {
	for _, e := range list {
		o, _ := e.(map[string]any)
		name, named := o["name"].(string)
		if !named {
			leaves[path] = encodeLeaf(list)
			return
		}
		collectLeaves(leaves, path+"["+strconv.Quote(name)+"]", o)
	}
}

func encodeLeaf(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
