package lab

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hitchvale/internal/sysfault"
)

// shortSoak is a soak of a few seconds for the ordinary tests. Its deadline is long enough for a busy machine.
const shortSoak = `
name = "short soak"
seed = 31
duration = "6s"
nodes = 4
backends = 4
grace = "1500ms"
[load]
rate = 60
deadline = "2s"
unsafe = 0.3
keyed = 0.3
leave = 0.05
improper = true
[backend]
service = "5ms"
errors = 0.01
resets = 0.01
[soak]
seeds = 2
quiet = "1s"
every = "1s"
bout = 3
shimmed = 0.5
`

// All checks pass under overlapping faults, failing system calls and a stepped wall clock.
func TestShortSoakKeepsTheInvariants(t *testing.T) {
	t.Parallel()
	report := runScenario(t, shortSoak)
	requireChecks(t, report)
	if report.Counts[kindServed] == 0 || len(report.Checks) < 10 {
		t.Errorf("no request was served or checks are missing: counts %v, %d checks", report.Counts, len(report.Checks))
	}
}

// A seed draws the same faults and the same plan of system calls each time. Each drawn fault is valid in a scenario,
// and 100 seeds together draw every kind of a soak.
func TestSoakDrawsSameValidFaultsFromSeed(t *testing.T) {
	scenario, err := LoadScenario(filepath.Join("..", "..", "deploy", "lab", "soak.toml"))
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	scenario.Soak.Upgrades = true
	for seed := range uint64(100) {
		scenario.Seed = seed
		faults := drawSoak(scenario)
		plan := drawSystemCallPlan(scenario, 1)
		if !reflect.DeepEqual(faults, drawSoak(scenario)) ||
			!reflect.DeepEqual(plan, drawSystemCallPlan(scenario, 1)) {
			t.Fatalf("seed %d: the second draw differs from the first", seed)
		}
		for _, fault := range faults {
			kinds[fault.Kind] = true
			if fault.Kind == "restart" || fault.Kind == "rejoin" {
				// These faults undo another fault and may come after the load.
				fault.At.Duration = min(fault.At.Duration, scenario.Duration.Duration)
			}
			if err := scenario.checkFault(fault); err != nil {
				t.Errorf("seed %d: invalid fault %+v: %v", seed, fault, err)
			}
		}
		if _, err := sysfault.ParsePlan(drawSystemCallPlan(scenario, 1).String()); err != nil {
			t.Errorf("seed %d: invalid plan: %v", seed, err)
		}
	}
	for _, kind := range []string{"term", "kill", "restart", "hup", "drain", "rejoin", "pause", "hold", "outage",
		"partition", "delay", "reset", "upgrade"} {
		if !kinds[kind] {
			t.Errorf("100 seeds draw no fault of kind %s", kind)
		}
	}
}

// The names of the checks that soakCases violate.
const (
	answerCheck     = "every request gets its final answer"
	executionCheck  = "no request runs twice or unasked"
	disconnectCheck = "no attempt begins after its client has left"
	deadlineCheck   = "no attempt tells more time than its client has left"
	keyCheck        = "no keyed request runs again after its window"
	drainCheck      = "nothing begins at a draining backend past the grace"
)

// soakStart is when the history of every soakCase begins.
var soakStart = time.Unix(1000, 0)

// sinceSoakStart returns the Unix time in nanoseconds that is the given time after soakStart.
func sinceSoakStart(after time.Duration) int64 { return soakStart.Add(after).UnixNano() }

// soakOutcome returns the outcome of a claim that was served after a second, as changed by change, which may be nil.
func soakOutcome(change func(*Outcome)) []Outcome {
	outcome := Outcome{
		Trace:         "x",
		Class:         classClaim,
		SentAt:        sinceSoakStart(0),
		DialedAt:      sinceSoakStart(0),
		ClientTimeout: int64(time.Second),
		Kind:          kindServed,
		DoneAt:        sinceSoakStart(time.Second),
	}
	if change != nil {
		change(&outcome)
	}
	return []Outcome{outcome}
}

// soakAttempt returns one attempt by node-0.
func soakAttempt(backend string, after time.Duration, deadlineMs int64) []Attempt {
	return []Attempt{{Trace: "x", Node: "node-0", Backend: backend, At: sinceSoakStart(after), DeadlineMs: deadlineMs}}
}

// soakExecutions returns an execution at soakStart and a second one later, at another backend.
func soakExecutions(second time.Duration) []Execution {
	return []Execution{
		{Trace: "x", Backend: "backend-0", At: sinceSoakStart(0)},
		{Trace: "x", Backend: "backend-1", At: sinceSoakStart(second)},
	}
}

// soakCase is a history and the only check that it violates.
type soakCase struct {
	history  History
	violates string // name of the check; "": the history violates none
}

// soakCases returns histories of one request at node-0. In all of them, backend-1 drains for 20 s, and node-0 is
// notified of the drain after 1 s.
func soakCases() map[string]soakCase {
	setBroken := func(o *Outcome) { o.Kind = kindBroken }
	setToken := func(o *Outcome) { o.Class = classToken }
	setDisconnected := func(o *Outcome) {
		o.Kind = kindClientDisconnected
		o.DisconnectedAt = sinceSoakStart(100 * time.Millisecond)
	}
	setDialedAfterKill := func(o *Outcome) {
		o.Kind = kindBroken
		o.DialedAt = sinceSoakStart(600 * time.Millisecond)
	}
	setResentAt := func(after time.Duration) func(*Outcome) {
		return func(o *Outcome) {
			o.Resent = true
			o.CrossedAt = sinceSoakStart(after)
		}
	}
	kill := FaultWindow{Node: 0, Kind: "kill", Start: sinceSoakStart(500 * time.Millisecond)}
	killOfLaterProcess := kill
	killOfLaterProcess.ProcessStart = sinceSoakStart(time.Millisecond)
	killAfterShutdown := []ShutdownKill{{At: sinceSoakStart(time.Second)}}
	return map[string]soakCase{
		"attempt soon after a disconnect": {history: History{
			Outcomes: soakOutcome(setDisconnected),
			Attempts: soakAttempt("backend-0", 250*time.Millisecond, 0),
		}},
		"attempt long after a disconnect": {violates: disconnectCheck, history: History{
			Outcomes: soakOutcome(setDisconnected),
			Attempts: soakAttempt("backend-0", 400*time.Millisecond, 0),
		}},
		"forwarded deadline within the remaining time": {history: History{
			Outcomes: soakOutcome(nil),
			Attempts: soakAttempt("backend-0", 500*time.Millisecond, 600),
		}},
		"forwarded deadline too long": {violates: deadlineCheck, history: History{
			Outcomes: soakOutcome(nil),
			Attempts: soakAttempt("backend-0", 500*time.Millisecond, 900),
		}},
		"keyed request repeated within its window": {history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow),
		}},
		"keyed request repeated after its window": {violates: keyCheck, history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow + time.Second),
		}},
		"keyed request sent within its window, executed after": {history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow + time.Second),
			Attempts:   soakAttempt("backend-1", keyWindow, 0),
			DrainGrace: 5 * time.Second,
		}},
		"claim executed twice": {violates: executionCheck, history: History{
			Outcomes:   soakOutcome(nil),
			Executions: soakExecutions(time.Second),
		}},
		"attempt within the grace of a drain": {history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 1900*time.Millisecond, 0),
			DrainGrace: time.Second,
		}},
		"attempt after the grace of a drain": {violates: drainCheck, history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 2200*time.Millisecond, 0),
			DrainGrace: time.Second,
		}},
		"attempt after the end of the drain": {history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 21*time.Second, 0),
			DrainGrace: time.Second,
		}},
		"request in flight at a kill": {history: History{
			Outcomes:     soakOutcome(setBroken),
			FaultWindows: []FaultWindow{kill},
		}},
		"unanswered on a connection made after a kill": {violates: answerCheck, history: History{
			Outcomes:     soakOutcome(setDialedAfterKill),
			FaultWindows: []FaultWindow{kill},
		}},
		"unanswered on a connection made before the killed process started": {violates: answerCheck, history: History{
			Outcomes:     soakOutcome(setBroken),
			FaultWindows: []FaultWindow{killOfLaterProcess},
		}},
		"connection closed before a kill, request resent": {history: History{
			Outcomes:      soakOutcome(setResentAt(0)),
			ShutdownKills: killAfterShutdown,
		}},
		"connection closed by a kill, request resent": {violates: answerCheck, history: History{
			Outcomes:      soakOutcome(setResentAt(time.Second)),
			ShutdownKills: killAfterShutdown,
		}},
		"no answer": {violates: answerCheck, history: History{
			Outcomes: soakOutcome(setBroken),
		}},
	}
}

// Each history fails exactly the check that it violates.
func TestSoakChecksDetectTheirViolations(t *testing.T) {
	drains := map[string][]*drainPeriod{"backend-1": {{
		start:      soakStart,
		end:        soakStart.Add(20 * time.Second),
		notifiedAt: map[string]time.Time{"node-0": soakStart.Add(time.Second)},
	}}}
	for name, tc := range soakCases() {
		t.Run(name, func(t *testing.T) {
			for _, check := range append(Verify(tc.history), tc.history.verifySoak(drains, time.Time{})...) {
				if check.OK == (check.Name == tc.violates) {
					t.Errorf("check %q passed: %v, want %v: %+v", check.Name, check.OK, !check.OK, check)
				}
			}
		})
	}
}

// upgradeSoak is a soak of upgrades of a few seconds for the ordinary tests. It has several upgrades in a row,
// successors that end, hanging backends and clients that connect long before they send a request. One seed in addition
// has idle connections and a class with a deadline of a minute.
const upgradeSoak = `
name = "short soak of upgrades"
seed = 22
duration = "7s"
nodes = 3
backends = 6
grace = "1500ms"
[load]
rate = 90
unsafe = 0.3
keyed = 0.3
late = 0.4
begun = 0.05
improper = true
[backend]
service = "5ms"
hangs = 0.02
[soak]
seeds = 3
quiet = "1s"
every = "900ms"
bout = 1
upgrades = true
deadlines = ["650ms", "1s", "800ms"]
long_class = "1m"
crowd = 150
`

// All checks pass under several upgrades in a row and clients that send late on their connections.
func TestShortSoakOfUpgradesKeepsTheInvariants(t *testing.T) {
	t.Parallel()
	report := runScenario(t, upgradeSoak)
	requireChecks(t, report)
	if report.Counts[kindServed] == 0 {
		t.Errorf("no request was served: counts %v", report.Counts)
	}
}
