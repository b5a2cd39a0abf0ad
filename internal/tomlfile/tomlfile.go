// Package tomlfile decodes the project's TOML files strictly: an unknown key, a wrong type or a malformed value
// is an error that names the line and the key, so that a typo in a file is refused at start, not ignored.
package tomlfile

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

// KeyError is a value that decoded but is out of range or inconsistent; Locate gives it its line.
type KeyError struct {
	Key string // dotted, as "load.rate"
	Msg string
}

func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Msg) }

// Bad makes a KeyError.
func Bad(key, format string, args ...any) error {
	return &KeyError{Key: key, Msg: fmt.Sprintf(format, args...)}
}

// Locate puts the line of a KeyError's key in front of err, where text names the key outside arrays of tables;
// other errors pass unchanged.
func Locate(text []byte, err error) error {
	var k *KeyError
	if !errors.As(err, &k) {
		return err
	}
	if line := lineOf(text, k.Key); line > 0 {
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

// lineOf finds the line that sets a dotted key, following [table] headers; 0 where none does.
func lineOf(text []byte, key string) int {
	table := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			table = "\x00" // keys inside arrays of tables are not looked up by name
		case strings.HasPrefix(line, "["):
			table = strings.TrimSpace(strings.Trim(line, "[]"))
		default:
			name, _, ok := strings.Cut(line, "=")
			if !ok || table == "\x00" {
				continue
			}
			full := strings.TrimSpace(name)
			if table != "" {
				full = table + "." + full
			}
			if full == key {
				return i + 1
			}
		}
	}
	return 0
}
