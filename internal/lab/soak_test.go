package lab

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hitchvale/internal/sysfault"
)

// shortSoak is the soak in seconds, for the ordinary tests: the deadline is one that a busy machine keeps too.
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

// Overlapping faults, failing system calls and a stepped wall clock break none of the checks.
func TestShortSoakKeepsTheInvariants(t *testing.T) {
	t.Parallel()
	r := runScenario(t, shortSoak)
	requireChecks(t, r)
	if r.Counts[kindServed] == 0 || len(r.Checks) < 10 {
		t.Errorf("too little to judge: %v, %d checks", r.Counts, len(r.Checks))
	}
}

// A seed draws the same faults each time, and another seed others; each of them is one that a scenario may have.
func TestSoakIsAFunctionOfItsSeed(t *testing.T) {
	s, err := LoadScenario(filepath.Join("..", "..", "deploy", "lab", "soak.toml"))
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	s.Soak.Upgrades = true
	for seed := range uint64(100) {
		s.Seed = seed
		faults := drawSoak(s)
		if !reflect.DeepEqual(faults, drawSoak(s)) || !reflect.DeepEqual(drawSystemCallPlan(s, 1), drawSystemCallPlan(s, 1)) {
			t.Fatalf("seed %d: drawn otherwise the second time", seed)
		}
		for _, f := range faults {
			kinds[f.Kind] = true
			if f.Kind == "restart" || f.Kind == "rejoin" {
				f.At.Duration = min(f.At.Duration, s.Duration.Duration) // what undoes a fault may come after the load
			}
			if err := s.checkFault(f); err != nil {
				t.Errorf("seed %d: %+v: %v", seed, f, err)
			}
		}
		if _, err := sysfault.ParsePlan(drawSystemCallPlan(s, 1).String()); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	for _, kind := range []string{"term", "kill", "restart", "hup", "drain", "rejoin", "pause", "hold", "outage", "partition", "delay", "reset", "upgrade"} {
		if !kinds[kind] {
			t.Errorf("no %s in 100 seeds", kind)
		}
	}
}

// The names of the checks that soakCases break.
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

// sinceSoakStart is a Unix time in nanoseconds.
func sinceSoakStart(after time.Duration) int64 { return soakStart.Add(after).UnixNano() }

// soakOutcome is a claim that was served within a second, with a change.
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

// soakAttempt is an attempt by node-0.
func soakAttempt(backend string, after time.Duration, deadlineMs int64) []Attempt {
	return []Attempt{{Trace: "x", Node: "node-0", Backend: backend, At: sinceSoakStart(after), DeadlineMs: deadlineMs}}
}

// soakExecutions are one at the start and a second one later, at another backend.
func soakExecutions(second time.Duration) []Execution {
	return []Execution{
		{Trace: "x", Backend: "backend-0", At: sinceSoakStart(0)},
		{Trace: "x", Backend: "backend-1", At: sinceSoakStart(second)},
	}
}

// soakCase is a history, and the one check that it breaks; "": none.
type soakCase struct {
	history History
	breaks  string
}

// soakCases are histories of one request at node-0. Backend-1 drains for 20 s, of which node-0 is notified after 1 s.
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
	atEarliest := []ShutdownKill{{At: sinceSoakStart(time.Second)}}
	return map[string]soakCase{
		"disconnected in time": {history: History{
			Outcomes: soakOutcome(setDisconnected),
			Attempts: soakAttempt("backend-0", 250*time.Millisecond, 0),
		}},
		"disconnected too long": {breaks: disconnectCheck, history: History{
			Outcomes: soakOutcome(setDisconnected),
			Attempts: soakAttempt("backend-0", 400*time.Millisecond, 0),
		}},
		"remaining deadline": {history: History{
			Outcomes: soakOutcome(nil),
			Attempts: soakAttempt("backend-0", 500*time.Millisecond, 600),
		}},
		"deadline too long": {breaks: deadlineCheck, history: History{
			Outcomes: soakOutcome(nil),
			Attempts: soakAttempt("backend-0", 500*time.Millisecond, 900),
		}},
		"repeat in window": {history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow),
		}},
		"repeat after window": {breaks: keyCheck, history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow + time.Second),
		}},
		"executed late, sent in time": {history: History{
			Outcomes:   soakOutcome(setToken),
			Executions: soakExecutions(keyWindow + time.Second),
			Attempts:   soakAttempt("backend-1", keyWindow, 0),
			DrainGrace: 5 * time.Second,
		}},
		"unsafe twice": {breaks: executionCheck, history: History{
			Outcomes:   soakOutcome(nil),
			Executions: soakExecutions(time.Second),
		}},
		"drain, not notified yet": {history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 1900*time.Millisecond, 0),
			DrainGrace: time.Second,
		}},
		"drain, notified": {breaks: drainCheck, history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 2200*time.Millisecond, 0),
			DrainGrace: time.Second,
		}},
		"drain, over": {history: History{
			Outcomes:   soakOutcome(nil),
			Attempts:   soakAttempt("backend-1", 21*time.Second, 0),
			DrainGrace: time.Second,
		}},
		"in flight at a kill": {history: History{
			Outcomes:     soakOutcome(setBroken),
			FaultWindows: []FaultWindow{kill},
		}},
		"after a kill": {breaks: answerCheck, history: History{
			Outcomes:     soakOutcome(setDialedAfterKill),
			FaultWindows: []FaultWindow{kill},
		}},
		"before the killed process": {breaks: answerCheck, history: History{
			Outcomes:     soakOutcome(setBroken),
			FaultWindows: []FaultWindow{killOfLaterProcess},
		}},
		"unread, not at a kill": {history: History{
			Outcomes:      soakOutcome(setResentAt(0)),
			ShutdownKills: atEarliest,
		}},
		"found by the kill": {breaks: answerCheck, history: History{
			Outcomes:      soakOutcome(setResentAt(time.Second)),
			ShutdownKills: atEarliest,
		}},
		"no answer": {breaks: answerCheck, history: History{
			Outcomes: soakOutcome(setBroken),
		}},
	}
}

// Each check of the soak finds what breaks it, and nothing else.
func TestSoakChecksFindWhatBreaksThem(t *testing.T) {
	drains := map[string][]*drainPeriod{"backend-1": {{
		start:      soakStart,
		end:        soakStart.Add(20 * time.Second),
		notifiedAt: map[string]time.Time{"node-0": soakStart.Add(time.Second)},
	}}}
	for name, tc := range soakCases() {
		t.Run(name, func(t *testing.T) {
			for _, check := range append(Verify(tc.history), tc.history.verifySoak(drains, time.Time{})...) {
				if check.OK == (check.Name == tc.breaks) {
					t.Errorf("%s: %+v", check.Name, check)
				}
			}
		})
	}
}

// upgradeSoak is the soak of upgrades in seconds, for the ordinary tests: series, successors that end, hanging
// backends, clients that connect long before they send a request, and, in one of its seeds,
// idle connections and a class of a minute.
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

// Upgrades in series under clients that use their connections late break none of the checks.
func TestShortSoakOfUpgradesKeepsTheInvariants(t *testing.T) {
	t.Parallel()
	r := runScenario(t, upgradeSoak)
	requireChecks(t, r)
	if r.Counts[kindServed] == 0 {
		t.Errorf("too little to judge: %v", r.Counts)
	}
}
