package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
)

// Difference is one field that differs between two documents. Old and New are the
// values in JSON; Old is empty for an added field, New for a removed one.
type Difference struct {
	// Field is the path of the field, in which rules, services and organisations
	// are identified by name, such as `rules["night"].then.service`.
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns d as one line of a diff.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return "+ " + d.Field + ": " + d.New
	case d.New == "":
		return "- " + d.Field + ": " + d.Old
	}
	return "~ " + d.Field + ": " + d.Old + " -> " + d.New
}

// Diff returns the fields that differ between a (old) and b (new), sorted by path,
// and then the order of the common rules if it differs.
// Revision and OperationID are ignored. A nil document counts as empty.
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

// ruleOrderDifference returns a difference if the rules that are in both documents
// have a different order.
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

// commonRules returns the names of the rules that are in both a and b, in the
// order of a.
func commonRules(a, b *Document) []string {
	var names []string
	for _, r := range a.Rules {
		if slices.ContainsFunc(b.Rules, func(o Rule) bool { return o.Name == r.Name }) {
			names = append(names, r.Name)
		}
	}
	return names
}

// flatten returns the JSON of each leaf field by its path.
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

// collectLeaves adds the leaves below v to leaves, except null values.
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

// collectListLeaves collects the leaves of a list of named objects, with their
// names in the paths. Any other list is itself a leaf.
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
