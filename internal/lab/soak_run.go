package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// seedResult is the line of seeds.jsonl for one seed.
type seedResult struct {
	Seed   uint64         `json:"seed"`
	Passed bool           `json:"passed"`
	Counts map[string]int `json:"counts"`
	// StarvedMs is the longest time in milliseconds that a thread of a child waited for a processor between two samples.
	// It is 0 where that time is below minStarvation.
	StarvedMs int64  `json:"starved_ms"`
	Error     string `json:"error,omitempty"`
}

// newSeedResult returns the result of a seed from its report and, where its run could not be completed, from the error.
func newSeedResult(seed uint64, report Report, err error) seedResult {
	result := seedResult{Seed: seed, Passed: report.Passed, Counts: report.Counts}
	for _, starved := range report.Starved {
		result.StarvedMs = max(result.StarvedMs, starved.For.Milliseconds())
	}
	if err != nil {
		result.Error = err.Error()
		result.Passed = false
	}
	return result
}

// runSoak runs the seeds of a soak one after another, each in its own folder, and returns the sum of their reports. A
// seed whose run cannot be completed ends the soak with an error.
func runSoak(ctx context.Context, scenario Scenario, opts Options) (Report, error) {
	if err := claimOutput(opts.Out); err != nil {
		return Report{}, err
	}
	results, err := os.Create(filepath.Join(opts.Out, "seeds.jsonl"))
	if err != nil {
		return Report{}, fmt.Errorf("output: %w", err)
	}
	defer results.Close()
	sum := Report{Scenario: scenario.Name, Passed: true, Counts: map[string]int{}, Starts: map[string]int{}}
	for range scenario.Soak.Seeds {
		seedOpts := opts
		seedOpts.Out = filepath.Join(opts.Out, fmt.Sprintf("seed-%d", scenario.Seed))
		report, err := runOnce(ctx, scenario.forSeed(), seedOpts)
		result := newSeedResult(scenario.Seed, report, err)
		if encodeErr := json.NewEncoder(results).Encode(result); encodeErr != nil {
			return sum, fmt.Errorf("output: %w", encodeErr)
		}
		if err != nil {
			return sum, fmt.Errorf("seed %d: %w", scenario.Seed, err)
		}
		sum.addSeed(scenario.Seed, report)
		if report.Passed {
			os.RemoveAll(seedOpts.Out) // keeping the folders of all seeds would fill the disk
		}
		scenario.Seed++
	}
	return sum, sum.Write(opts.Out)
}

// addSeed adds the report of one seed to the report of the soak.
func (r *Report) addSeed(seed uint64, report Report) {
	r.Passed = r.Passed && report.Passed
	r.Executions += report.Executions
	for kind, n := range report.Counts {
		r.Counts[kind] += n
	}
	for _, check := range report.Checks {
		i := slices.IndexFunc(r.Checks, func(c Check) bool { return c.Name == check.Name })
		if i < 0 {
			i = len(r.Checks)
			r.Checks = append(r.Checks, Check{Name: check.Name, OK: true, Reasons: map[string]int{}})
		}
		r.Checks[i].addSeed(seed, check)
	}
}

// addSeed adds the result of the same check in one seed.
func (c *Check) addSeed(seed uint64, check Check) {
	c.OK = c.OK && check.OK
	c.Violations += check.Violations
	c.Excused += check.Excused
	for reason, n := range check.Reasons {
		c.Reasons[reason] += n
	}
	for _, example := range check.Examples {
		if len(c.Examples) < maxExamples {
			c.Examples = append(c.Examples, fmt.Sprintf("seed %d: %s", seed, example))
		}
	}
}
