package rules

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
)

func rulesPage(t *testing.T) string {
	data, err := os.ReadFile("../../docs/RULES.md")
	require.NoError(t, err)
	return string(data)
}

func TestExamplesOfTheRulesPageCompile(t *testing.T) {
	blocks := strings.Split(rulesPage(t), "```json\n")[1:]
	require.Len(t, blocks, 2)
	for _, block := range blocks {
		text, _, _ := strings.Cut(block, "```")
		doc, err := config.Decode[config.Document]("RULES.md", []byte(text))
		require.NoError(t, err)
		_, err = Compile(&doc)
		require.NoError(t, err)
	}
}

func TestRulesPageNamesEveryField(t *testing.T) {
	page := rulesPage(t)
	for _, typ := range []reflect.Type{reflect.TypeFor[config.When](), reflect.TypeFor[config.Then]()} {
		for f := range typ.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			require.Contains(t, page, "`"+name+"`")
		}
	}
}
