// Package tomlfile decodes the project's TOML files strictly. An unknown key, a wrong type or a malformed value is an
// error that names the line and the key, so that a program rejects a file with a typo at its start.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes text into v. Unknown keys are errors. The text of an error starts with "line N: " and quotes the key.
func Decode(text []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return describe(err)
	}
	return nil
}

// describe adds the line and the key to an error of the decoder.
func describe(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: unknown key %q", line, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		if key := decodeErr.Key(); len(key) > 0 {
			return fmt.Errorf("line %d: key %q: %s", line, strings.Join(key, "."), decodeErr.Error())
		}
		return fmt.Errorf("line %d: %s", line, decodeErr.Error())
	}
	return err
}

// Duration is a time.Duration that is written as a string such as "2s" or "150ms".
type Duration struct{ time.Duration }

// UnmarshalText decodes a duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = value
	return nil
}

// MarshalText encodes a duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// KeyError says that the value of a key has the right type but is out of range or inconsistent. Locate adds the line.
type KeyError struct {
	Key string // dotted, such as "load.rate"
	Msg string // what is wrong with the value
}

// Error returns the key and the message.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Msg) }

// KeyErrorf returns a *KeyError with a formatted message.
func KeyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Msg: fmt.Sprintf(format, args...)}
}

// Locate adds the line at which text sets the key of a KeyError. It returns other errors unchanged. Keys inside arrays
// of tables are not found, and the KeyError of such a key is returned unchanged too.
func Locate(text []byte, err error) error {
	var keyError *KeyError
	if !errors.As(err, &keyError) {
		return err
	}
	if line := lineOf(text, keyError.Key); line > 0 {
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

// lineOf returns the number of the line that sets a dotted key, directly or below a [table] header. It returns 0 if
// there is no such line.
func lineOf(text []byte, key string) int {
	const insideArray = "\x00" // can't be the name of a table
	table := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			table = insideArray
		case strings.HasPrefix(line, "["):
			table = strings.TrimSpace(strings.Trim(line, "[]"))
		default:
			name, _, ok := strings.Cut(line, "=")
			if !ok || table == insideArray {
				continue
			}
			fullKey := strings.TrimSpace(name)
			if table != "" {
				fullKey = table + "." + fullKey
			}
			if fullKey == key {
				return i + 1
			}
		}
	}
	return 0
}
