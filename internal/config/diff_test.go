package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiffListsChangedFields(t *testing.T) {
	a, b := validDocument(), validDocument()
	a.Rules = append(a.Rules, Rule{Name: "last", Then: Then{Service: "audit"}})
	b.Rules = []Rule{{Name: "last", Then: Then{Service: "audit-spare"}}, b.Rules[0]}
	b.Revision, b.OperationID = 9, "op"
	b.OlderSystem = nil
	var got []string
	for _, d := range Diff(a, b) {
		got = append(got, d.String())
	}
	require.Equal(t, []string{
		`- olderSystem.address: "10.0.0.8:80"`,
		`~ rules["last"].then.service: "audit" -> "audit-spare"`,
		`~ rules order: ["all" "last"] -> ["last" "all"]`,
	}, got)
	require.Empty(t, Diff(a, a))
	require.NotEmpty(t, Diff(nil, a))
}
