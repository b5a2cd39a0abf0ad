package simproto

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// fields holds the parts of one line: the message's name, and pairs of key and value. The methods parse values and keep
// the first failure in err. After a failure the returned values have no meaning.
type fields struct {
	line          int
	name          string
	pairs         []field
	missingIsZero bool // a missing field reads as zero; otherwise it is a failure
	err           error
}

type field struct {
	key   string
	value string
}

// typicalFieldCount is the number of fields for which parseLine allocates space in advance.
const typicalFieldCount = 12

// parseLine splits a line at its spaces. The value of a text field (conf, bodyText) extends to the end of the line.
func parseLine(s string, line int) (*fields, error) {
	name, rest, more := strings.Cut(s, " ")
	f := &fields{line: line, name: name, pairs: make([]field, 0, typicalFieldCount)}
	if name == "" || strings.Contains(name, "=") {
		return nil, fmt.Errorf("line %d: the message name is missing", line)
	}
	for more {
		var part string
		if strings.HasPrefix(rest, "conf=") || strings.HasPrefix(rest, "bodyText=") {
			part, more = rest, false
		} else {
			part, rest, more = strings.Cut(rest, " ")
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("line %d: %s: %q is not a field of the form name=value", line, name, part)
		}
		if f.has(key) {
			return nil, fmt.Errorf("line %d: %s: field %s is given twice", line, name, key)
		}
		f.pairs = append(f.pairs, field{key: key, value: value})
	}
	return f, nil
}

// fail records the failure of a field, unless a failure is recorded already.
func (f *fields) fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %s: %s", f.line, f.name, key, why)
	}
}

func (f *fields) has(key string) bool {
	for i := range f.pairs {
		if f.pairs[i].key == key {
			return true
		}
	}
	return false
}

// optional runs read in a mode in which missing fields read as zero.
func (f *fields) optional(read func()) {
	f.missingIsZero = true
	read()
	f.missingIsZero = false
}

// get returns the value of a field; ok is false if the field is missing.
func (f *fields) get(key string) (value string, ok bool) {
	for i := range f.pairs {
		if f.pairs[i].key == key {
			return f.pairs[i].value, true
		}
	}
	if !f.missingIsZero {
		f.fail(key, "missing")
	}
	return "", false
}

// text returns the value of a text field, which must not be empty.
func (f *fields) text(key string) string {
	s, ok := f.get(key)
	if ok && s == "" {
		f.fail(key, "empty")
	}
	return s
}

// unsigned returns the value of a field that is an integer from 0 to maximum.
func (f *fields) unsigned(key string, maximum uint64) uint64 {
	s, ok := f.get(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v > maximum {
		f.fail(key, fmt.Sprintf("%q is not an integer from 0 to %d", s, maximum))
		return 0
	}
	return v
}

func (f *fields) index(key string) int { return int(f.unsigned(key, math.MaxInt32)) }

// duration returns the value of a field in nanoseconds.
func (f *fields) duration(key string) time.Duration {
	return time.Duration(f.unsigned(key, math.MaxInt64))
}

func (f *fields) endpointID() balance.EndpointID {
	return balance.EndpointID(f.unsigned("backend", math.MaxUint32))
}

func (f *fields) listNumber() int { return int(f.unsigned("sheet", MaxListNumber)) }

// flag returns the value of a field that is 0 or 1.
func (f *fields) flag(key string) bool { return f.unsigned(key, 1) == 1 }

// number returns the value of a field that is a finite number.
func (f *fields) number(key string) float64 {
	s, _ := f.get(key)
	return f.parseNumber(key, s)
}

func (f *fields) parseNumber(key, s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(key, fmt.Sprintf("%q is not a finite number", s))
		return 0
	}
	return v
}

// oneOf returns the index of a field's value in names.
func (f *fields) oneOf(key string, names []string) int {
	s, ok := f.get(key)
	if !ok {
		return 0
	}
	for i, n := range names {
		if s == n {
			return i
		}
	}
	f.fail(key, fmt.Sprintf("%q is not one of %s", s, strings.Join(names, ", ")))
	return 0
}

// bytes returns the decoded value of a field in base64; "-" means no bytes.
func (f *fields) bytes(key string) []byte {
	s, ok := f.get(key)
	if !ok || s == "-" {
		return nil
	}
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		f.fail(key, "the value is not valid base64")
	}
	return b
}

// settings returns the Balancer's configuration from a field with the settings object.
func (f *fields) settings(key string) balance.Config {
	s, ok := f.get(key)
	if !ok {
		return balance.Config{}
	}
	parsed, err := siteconfig.Parse([]byte(s))
	if err != nil {
		f.fail(key, err.Error())
	}
	return parsed.Config
}
