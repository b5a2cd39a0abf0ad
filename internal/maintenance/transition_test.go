package maintenance

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
)

// The table of docs/registry.md has one row for each transition of a turn and no other row.
func TestPageListsEveryTransition(t *testing.T) {
	page, err := os.ReadFile("../../docs/registry.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, transition := range Transitions {
		condition := transition.Condition
		if condition == "" {
			condition = "none"
		}
		want = append(want, fmt.Sprintf("| `%s` | `%s` | %s | %s | %s |",
			transition.From, transition.To, transition.Proposer, condition, transition.Effect))
	}
	got := regexp.MustCompile("(?m)^\\| `[a-z]+` \\| `[a-z]+` \\| .*$").FindAllString(string(page), -1)
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("docs/registry.md lacks the row\n%s", row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("docs/registry.md has a row without a transition:\n%s", row)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d rows for %d transitions", len(got), len(want))
	}
}
