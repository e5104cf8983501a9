package config

import (
	"os"
	"strings"

	"buckthornpick/internal/fault"
)

// LoadSecret returns value, or, if value is empty, the content of file without
// surrounding white space. It returns "" if both are empty. An empty file is an
// error.
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
