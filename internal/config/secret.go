package config

import (
	"os"
	"strings"

	"buckthornpick/internal/fault"
)

// Secret returns value, or the content of file without surrounding white
// space if value is empty. Both empty gives "".
func LoadSecret(value, file string) (string, error) {
	if value != "" || file == "" {
		return value, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(err, fault.Invalid, "config.secret", "", "cannot read secret file")
	}
	text := strings.TrimSpace(string(data))
	if text == "" {
		return "", fault.New(fault.Invalid, "config.secret", "", "secret file %s is empty", file)
	}
	return text, nil
}
