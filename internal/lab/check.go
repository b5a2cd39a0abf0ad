package lab

import "sort"

// maxExamples bounds the violations of a check that a report has in full.
const maxExamples = 10

// Check is the result of one invariant over a run's history.
type Check struct {
	Name       string         `json:"name"`
	OK         bool           `json:"ok"`
	Violations int            `json:"violations"`
	Excused    int            `json:"excused,omitempty"`  // cases that a fault of the node's own explains; no violations
	Reasons    map[string]int `json:"reasons,omitempty"`  // of the excused ones, by kind of fault
	Examples   []string       `json:"examples,omitempty"` // the first violations, by trace id
}

// addViolation counts a violation.
func (c *Check) addViolation(example string) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, example)
	}
}

// result is the check once all violations are counted.
func (c Check) result() Check {
	c.OK = c.Violations == 0
	sort.Strings(c.Examples)
	return c
}
