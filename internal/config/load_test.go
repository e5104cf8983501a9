package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validEntrySettings = `{
  // An entry of zone a.
  "node": {"id": "entry-a1", "zone": "a"},
  "peers": {"advertised": ["10.0.0.1:7070"], "secret": "s",},
  "store": {"url": "http://10.0.0.9:2379", "timeout": "1.5s"},
  "cloud": {"url": "http://10.0.0.9:8000"},
}`

func TestLoadReadsCommentsAndKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(path, []byte(validEntrySettings), 0o600))
	s, err := Load[EntrySettings](path)
	require.NoError(t, err)
	require.Equal(t, 1500*time.Millisecond, s.Store.Timeout.Std())
	require.EqualValues(t, 4*mib, s.Bounds.MaxBodyBytes)
	require.Equal(t, "default", s.Node.Region)
}

func TestDecodeReportsEveryProblemWithLineFieldAndExpectation(t *testing.T) {
	_, err := Decode[EntrySettings]("entry.json", []byte(`{
  "node": {"id": 5, "zone": "a"},
  "stor": {},
  "bounds": {"maxBodyBytes": 1.5,
    "keyWindow": "soon"},
  "peers": {"advertised": "x"},
  "log": {"level": "info", "level": "warn"}
}`))
	var ps Problems
	require.ErrorAs(t, err, &ps)
	var got []string
	for _, p := range ps {
		got = append(got, p.String())
	}
	require.Equal(t, []string{
		`entry.json:2: node.id: expected a string, got 5`,
		`entry.json:3: stor: unknown field; expected one of admin, bounds, callers, cloud, drain, lease, limits, log, node, peers, store`,
		`entry.json:4: bounds.maxBodyBytes: expected a whole number, got 1.5`,
		`entry.json:5: bounds.keyWindow: expected a duration such as "1.5s", got "soon"`,
		`entry.json:6: peers.advertised: expected an array, got "x"`,
		`entry.json:7: log.level: field is given twice`,
	}, got)
}

func TestDecodeReportsSyntaxWithLine(t *testing.T) {
	_, err := Decode[EntrySettings]("entry.json", []byte("{\n  \"node\": {,}\n}"))
	var ps Problems
	require.ErrorAs(t, err, &ps)
	require.Equal(t, 2, ps[0].Line)
}

func TestValidateNamesTheLineOfTheField(t *testing.T) {
	_, err := Decode[EntrySettings]("e", []byte(`{
  "node": {"id": "", "zone": "a"},
  "peers": {"advertised": ["nohost"], "secret": "s", "secretFile": "f"},
  "admin": {"tls": {"certFile": "c"}},
  "lease": {"ttl": "2s"},
  "bounds": {"claimRetention": "15m"}
}`))
	var ps Problems
	require.ErrorAs(t, err, &ps)
	lines := map[string]int{}
	for _, p := range ps {
		lines[p.Field] = p.Line
	}
	require.Equal(t, map[string]int{
		"node.id": 2, "peers.advertised": 3, "peers.secret": 3, "admin.tls": 4,
		"store.url": 1, "cloud.url": 1, "lease.renewInterval": 5, "bounds.claimRetention": 6,
	}, lines)
}
