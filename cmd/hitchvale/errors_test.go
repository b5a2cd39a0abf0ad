package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	_ "hitchvale/internal/fleet" // defines errors, as do the next two
	_ "hitchvale/internal/maintenance"
	"hitchvale/internal/operror"
	_ "hitchvale/internal/registry"
)

// Every kind of error has a remedy and a row of its own in docs/oncall.md, and no row is of an error that does not
// exist.
func TestEveryErrorIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	seen := map[string]bool{}
	for _, e := range operror.Kinds() {
		if e.Remedy == "" || e.Meaning == "" || e.Status < 400 || seen[e.Code] {
			t.Errorf("%+v: no remedy, no meaning, no status or no code of its own", e)
		}
		seen[e.Code] = true
		want = append(want, row(e))
	}
	got := regexp.MustCompile("(?m)^\\| `[a-z]+\\.[a-z-]+` \\| [0-9]{3} \\|.*$").FindAllString(string(text), -1)
	for _, r := range want {
		if !slices.Contains(got, r) {
			t.Errorf("docs/oncall.md lacks the row\n%s", r)
		}
	}
	for _, r := range got {
		if !slices.Contains(want, r) {
			t.Errorf("docs/oncall.md has a row of no error:\n%s", r)
		}
	}
}

// row is an error's row of the table.
func row(e operror.Kind) string {
	return fmt.Sprintf("| `%s` | %d | %s | %s |", e.Code, e.Status, e.Meaning, e.Remedy)
}
