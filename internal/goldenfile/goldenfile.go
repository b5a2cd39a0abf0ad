// Package goldenfile lets tests check that the JSON that is stored or sent to other processes keeps its form. Each
// version of the program must read what the previous version wrote, and the previous version what the new version
// writes.
package goldenfile

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Dir is the directory of a package's golden files, relative to the package.
const Dir = "testdata/golden"

// RoundTrip fails t unless the golden file NAME.json decodes into a T without an unknown field and encodes to the same
// bytes again. Every field in the golden file must have a value other than zero, so that a field that is renamed or
// removed in T is detected.
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
		t.Errorf("%s: the JSON has changed\n got %s\nwant %s", name, got, want)
	}
}
