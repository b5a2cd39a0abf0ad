// Package tomlconf decodes the project's TOML files strictly: an unknown key, a wrong type or a malformed value
// is an error that names the line and the key, so that a typo in a file is refused at start, not ignored.
package tomlconf

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Decode fills v from text, refusing unknown keys. Errors read "line N: ..." with the key quoted.
func Decode(text []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describe(err)
	}
	return nil
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return fmt.Errorf("line %d: unknown key %q", row, strings.Join(e.Key(), "."))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		if k := dec.Key(); len(k) > 0 {
			return fmt.Errorf("line %d: key %q: %s", row, strings.Join(k, "."), dec.Error())
		}
		return fmt.Errorf("line %d: %s", row, dec.Error())
	}
	return err
}

// Duration is a time.Duration written as "2s" or "150ms".
type Duration struct{ time.Duration }

// UnmarshalText reads a Go duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	d.Duration = v
	return nil
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
