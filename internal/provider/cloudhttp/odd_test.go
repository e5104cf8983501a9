package cloudhttp

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/telemetry"
)

// An odd entry in a list of the platform costs itself only.
func TestOddEntriesCostThemselvesOnly(t *testing.T) {
	nested := `{"id":"odd","more":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + "}"
	sound := map[string]string{
		"vms": `{"id":"%s","zone":"a","state":"live","service":"s","address":"10.0.0.1:80"}`, "notices": `{"vm":"%s","sequence":3,"deadline":"2026-01-01T00:00:00Z"}`,
		"offers": `{"class":"%s","zone":"a"}`,
	}
	odd := map[string][]string{
		"vms": {nested, `{"id":"odd","accelerators":1e999}`, `{"id":"odd","accelerators":99999999999999999999}`, `{"id":"odd","pricePerHour":1e999}`, `{"id":"odd","accelerators":-1}`,
			`{"id":"odd","service":"s","address":"10.0.0.1:99999"}`, `{"id":"odd","service":"s","address":"10.0.0.1:0"}`, `{"id":"odd","service":"s","address":"10.0.0.1"}`, `{"id":7}`, `{}`, `7`, `"x"`, `[]`, `null`},
		"notices": {nested, `{"vm":"odd","sequence":99999999999999999999}`, `{"vm":"odd","sequence":9223372036854775807}`, `{"vm":"odd","sequence":4,"deadline":"never"}`, `{"vm":"odd","sequence":-1}`, `{"vm":7,"sequence":4}`, `{}`, `null`},
		"offers":  {nested, `{"class":"odd","accelerators":1e999}`, `{"class":7}`, `{}`, `null`},
	}
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	c := New(server.URL, server.Client(), telemetry.Discard())
	for name, entries := range odd {
		for _, entry := range entries {
			for _, at := range []string{"ODD,A,B", "A,ODD,B", "A,B,ODD"} {
				body = fmt.Sprintf(`{"%s":[%s]}`, name, strings.NewReplacer("ODD", entry, "A", fmt.Sprintf(sound[name], "a"), "B", fmt.Sprintf(sound[name], "b")).Replace(at))
				var ids []string
				var err error
				switch name {
				case "vms":
					list, listErr := c.ListVMs(t.Context())
					for _, vm := range list {
						ids = append(ids, vm.ID)
					}
					err = listErr
				case "notices":
					list, listErr := c.Notices(t.Context(), 0)
					for _, n := range list {
						ids = append(ids, n.VM)
					}
					err = listErr
				case "offers":
					list, listErr := c.Offers(t.Context())
					for _, o := range list {
						ids = append(ids, o.Class)
					}
					err = listErr
				}
				require.NoError(t, err, "%s: %.100s", name, entry)
				require.Equal(t, []string{"a", "b"}, ids, "%s: %.100s", name, entry)
			}
		}
	}
}
