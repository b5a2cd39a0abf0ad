package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	_ "hitchvale/internal/fleet" // fleet, maintenance and registry are imported because they define kinds of errors
	_ "hitchvale/internal/maintenance"
	"hitchvale/internal/operror"
	_ "hitchvale/internal/registry"
)

// Each kind of error has a unique code, a status, a meaning and a remedy. docs/oncall.md has a row for each kind of
// error and no other rows.
func TestEveryErrorIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	seen := map[string]bool{}
	for _, e := range operror.Kinds() {
		if e.Remedy == "" || e.Meaning == "" || e.Status < 400 || seen[e.Code] {
			t.Errorf("%+v: the remedy, the meaning or the status is missing, or the code is not unique", e)
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
			t.Errorf("docs/oncall.md has a row for an error that does not exist:\n%s", r)
		}
	}
}

// row returns the row of the table for a kind of error.
func row(e operror.Kind) string {
	return fmt.Sprintf("| `%s` | %d | %s | %s |", e.Code, e.Status, e.Meaning, e.Remedy)
}
