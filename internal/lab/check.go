package lab

import "sort"

// maxExamples is the largest number of violations of a check that a report describes.
const maxExamples = 10

// Check is the result of checking one invariant over a run's history.
type Check struct {
	Name       string         `json:"name"`
	OK         bool           `json:"ok"`
	Violations int            `json:"violations"`
	Excused    int            `json:"excused,omitempty"`  // cases that a fault of the node explains; not violations
	Reasons    map[string]int `json:"reasons,omitempty"`  // number of excused cases, by kind of fault
	Examples   []string       `json:"examples,omitempty"` // descriptions of the first violations, sorted
}

// addViolation counts a violation. The example describes the violation; the first maxExamples of them are kept.
func (c *Check) addViolation(example string) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, example)
	}
}

// result returns the check with OK set and its examples sorted. It is called once all violations have been counted.
func (c Check) result() Check {
	c.OK = c.Violations == 0
	sort.Strings(c.Examples)
	return c
}
