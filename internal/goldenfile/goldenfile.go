// Package goldenfile helps tests to hold the JSON forms that are stored or sent to other processes: a version of the
// program has to read what the version before it wrote, and the other way round.
package goldenfile

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Dir is the folder of a package's golden files.
const Dir = "testdata/golden"

// RoundTrip fails t unless the golden file NAME.json decodes into a T without an unknown field and encodes to the same
// bytes again. Every field of the file has a value other than zero, so a field that was renamed or dropped is found.
func RoundTrip[T any](t *testing.T, name string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join(Dir, name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	var value T
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	got, err := json.Marshal(&value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if want := bytes.TrimSpace(want); !bytes.Equal(got, want) {
		t.Errorf("%s: the form has changed\n got %s\nwant %s", name, got, want)
	}
}
