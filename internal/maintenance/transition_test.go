package maintenance

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
)

// docs/registry.md shows the transitions of a turn: each row of its table is one of them, and none is missing.
func TestPageShowsTheTransitions(t *testing.T) {
	page, err := os.ReadFile("../../docs/registry.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, x := range Transitions {
		condition := x.Condition
		if condition == "" {
			condition = "none"
		}
		want = append(want, fmt.Sprintf("| `%s` | `%s` | %s | %s | %s |", x.From, x.To, x.Proposer, condition, x.Effect))
	}
	got := regexp.MustCompile("(?m)^\\| `[a-z]+` \\| `[a-z]+` \\| .*$").FindAllString(string(page), -1)
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("docs/registry.md lacks the row\n%s", row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("docs/registry.md has a row of no transition:\n%s", row)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d rows for %d transitions", len(got), len(want))
	}
}
