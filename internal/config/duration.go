package config

import (
	"encoding/json"
	"errors"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s" or "10m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`expected a duration such as "1.5s"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.New(`expected a duration such as "1.5s", got ` + string(data))
	}
	*d = Duration(v)
	return nil
}
