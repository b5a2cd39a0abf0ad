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

// Each check of the soak finds what breaks it, and nothing else.
func TestSoakChecksFindWhatBreaksThem(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(after time.Duration) int64 { return start.Add(after).UnixNano() }
	drains := map[string][]*drainPeriod{"backend-1": {{start: start, end: start.Add(20 * time.Second),
		notifiedAt: map[string]time.Time{"node-0": start.Add(time.Second)}}}}
	claim := Outcome{Trace: "x", Class: classClaim, SentAt: at(0), DialedAt: at(0), ClientTimeout: int64(time.Second), Kind: kindServed, DoneAt: at(time.Second)}
	change := func(f func(*Outcome)) Outcome {
		o := claim
		f(&o)
		return o
	}
	disconnected := change(func(o *Outcome) { o.Kind, o.DisconnectedAt = kindClientDisconnected, at(100*time.Millisecond) })
	token := change(func(o *Outcome) { o.Class = classToken })
	broken := change(func(o *Outcome) { o.Kind = kindBroken })
	attempt := func(backend string, after time.Duration, deadlineMs int64) []Attempt {
		return []Attempt{{Trace: "x", Node: "node-0", Backend: backend, At: at(after), DeadlineMs: deadlineMs}}
	}
	runs := func(second time.Duration) []Execution {
		return []Execution{{Trace: "x", Backend: "backend-0", At: at(0)}, {Trace: "x", Backend: "backend-1", At: at(second)}}
	}
	kill := []FaultWindow{{Node: 0, Kind: "kill", Start: at(500 * time.Millisecond)}}
	late := change(func(o *Outcome) { o.Kind, o.DialedAt = kindBroken, at(600*time.Millisecond) })
	for name, tc := range map[string]struct {
		h      History
		breaks string
	}{
		"disconnected in time":    {History{Outcomes: []Outcome{disconnected}, Attempts: attempt("backend-0", 250*time.Millisecond, 0)}, ""},
		"disconnected too long":   {History{Outcomes: []Outcome{disconnected}, Attempts: attempt("backend-0", 400*time.Millisecond, 0)}, "no attempt begins after its client has left"},
		"remaining deadline":      {History{Outcomes: []Outcome{claim}, Attempts: attempt("backend-0", 500*time.Millisecond, 600)}, ""},
		"deadline too long":       {History{Outcomes: []Outcome{claim}, Attempts: attempt("backend-0", 500*time.Millisecond, 900)}, "no attempt tells more time than its client has left"},
		"repeat in window":        {History{Outcomes: []Outcome{token}, Executions: runs(keyWindow)}, ""},
		"repeat after window":     {History{Outcomes: []Outcome{token}, Executions: runs(keyWindow + time.Second)}, "no keyed request runs again after its window"},
		"unsafe twice":            {History{Outcomes: []Outcome{claim}, Executions: runs(time.Second)}, "no request runs twice or unasked"},
		"drain, not notified yet": {History{Outcomes: []Outcome{claim}, Attempts: attempt("backend-1", 1900*time.Millisecond, 0), DrainGrace: time.Second}, ""},
		"drain, notified":         {History{Outcomes: []Outcome{claim}, Attempts: attempt("backend-1", 2200*time.Millisecond, 0), DrainGrace: time.Second}, "nothing begins at a draining backend past the grace"},
		"drain, over":             {History{Outcomes: []Outcome{claim}, Attempts: attempt("backend-1", 21*time.Second, 0), DrainGrace: time.Second}, ""},
		"held at a kill":          {History{Outcomes: []Outcome{broken}, FaultWindows: kill}, ""},
		"after a kill":            {History{Outcomes: []Outcome{late}, FaultWindows: kill}, "every request gets its final answer"},
		"unread, not at a kill":   {History{Outcomes: []Outcome{change(func(o *Outcome) { o.Resent, o.CrossedAt = true, at(0) })}, Kills: []Kill{{At: at(time.Second)}}}, ""},
		"found by the kill":       {History{Outcomes: []Outcome{change(func(o *Outcome) { o.Resent, o.CrossedAt = true, at(time.Second) })}, Kills: []Kill{{At: at(time.Second)}}}, "every request gets its final answer"},
		"run late, sent in time":  {History{Outcomes: []Outcome{token}, Executions: runs(keyWindow + time.Second), Attempts: attempt("backend-1", keyWindow, 0), DrainGrace: 5 * time.Second}, ""},
		"before the killed one":   {History{Outcomes: []Outcome{broken}, FaultWindows: []FaultWindow{{Node: 0, Kind: "kill", Start: at(500 * time.Millisecond), ProcessStart: at(time.Millisecond)}}}, "every request gets its final answer"},
		"no answer":               {History{Outcomes: []Outcome{broken}}, "every request gets its final answer"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, c := range append(Verify(tc.h), tc.h.verifySoak(drains, time.Time{})...) {
				if c.OK == (c.Name == tc.breaks) {
					t.Errorf("%s: %+v", c.Name, c)
				}
			}
		})
	}
}

// upgradeSoak is the soak of upgrades in seconds, for the ordinary tests: series, successors that end, hanging
// backends, clients that connect long before they send a request, and, in one of its seeds, idle connections and a class of a minute.
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
