package balance

import (
	"bufio"
	"math"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// The log lines that the README names are the lines that exist, and they are few.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(100, idempotent, in20ms)
	for range 80 {
		r.advance(200 * ms)
		r.serve(20, idempotent, func(b EndpointID) time.Duration { return time.Duration(2-b) * 150 * ms })
	}
	for range 40 {
		r.advance(1500 * ms)
		r.serve(20, idempotent, func(b EndpointID) time.Duration { return time.Duration(3-b) * 15 * ms })
	}
	r.answerLate(200)
	r.serve(3000, idempotent, in20ms)
	r.recordLogs(r.handle(DiscoveryFailed{}))
	r.recordLogs(r.handle(DiscoveryFailed{}))
	r.recordLogs(r.handle(EndpointsListed{Kind: CompleteList}))
	for _, text := range []string{
		"endpoint N is an outlier: traffic withheld",
		"endpoint N has recovered",
		"no ready endpoint",
		"answers come late: rejecting early",
		"answers in time again",
		"discovery unavailable: polling again",
	} {
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("the page lacks %q", text)
		}
		if !r.logged(strings.ReplaceAll(text, "N", "2")) {
			t.Errorf("not logged: %q, only %q", text, r.logs)
		}
	}
	if len(r.logs) > 12 {
		t.Errorf("%d log lines: %q", len(r.logs), r.logs)
	}
}

// A caller whose clock goes back, or that reports an outcome twice, must not make the module panic, forward twice or
// count below zero.
func TestMisuseIsHarmless(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", nonIdempotent)
	to := r.forwardedTo()
	r.advance(-30 * time.Minute)
	r.endAttempt("x", 0, to, StatusSucceeded)
	for _, acts := range [][]Action{
		r.endAttempt("x", 0, to, StatusNotDelivered),
		r.endAttempt("x", 5, to, StatusSucceeded),
		r.endAttempt("x", -1, to, StatusSucceeded),
		r.handle(TimerFired{ID: 1 << 40}),
		r.handle(nil),
	} {
		if len(acts) != 0 {
			t.Errorf("%+v", acts)
		}
	}
	for range 50 {
		r.serve(1, idempotent, in20ms)
	}
	if r.b.now < time.Hour {
		t.Errorf("the clock went back to %v", r.b.now)
	}
	for id, s := range r.b.endpoints {
		if s.inFlight != 0 || math.IsNaN(r.b.costSeconds(s)) {
			t.Errorf("endpoint %d: %+v", id, *s)
		}
	}
}

// Events that name what the module does not know do nothing.
func TestUnknownNamesAreIgnored(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("x", idempotent)
	for _, ev := range []Event{
		AttemptEnded{Request: "nobody"},
		AttemptEnded{Request: "x", Attempt: 5},
		AttemptEnded{Request: "x", Attempt: -1},
		ClientDisconnected{Request: "nobody"},
		StreamStarted{Request: "nobody"},
		TimerFired{ID: 999},
		HealthChecked{Endpoint: 77, Load: Load{Has: HasActive, Active: 3}},
		RequestArrived{Request: "y", Class: 99},
		RequestArrived{Request: "y", Class: -1},
		RequestArrived{Request: "x", Class: idempotent},
		PeerMessage{Peer: 1, Payload: []byte{1, 2}},
	} {
		if acts := ofKind(Forward, r.handle(ev)); len(acts) != 0 {
			t.Errorf("%+v: %+v", ev, acts)
		}
	}
	if r.handle(ClientDisconnected{Request: "x"}); len(r.last) != 0 {
		t.Errorf("an answer after the client has disconnected: %+v", r.last)
	}
}

// A Config with negative counts or times is an error; an empty one is not.
func TestNewRejectsNegativeCounts(t *testing.T) {
	for _, cfg := range []Config{{Instances: -1}, {Index: -1}, {Limits: Limits{MaxAttempts: -1}},
		{Classes: []Class{{Deadline: -1}}}} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("accepted %+v", cfg)
		}
	}
	if _, err := New(Config{}, 1); err != nil {
		t.Errorf("an empty Config: %v", err)
	}
}

// New staff read the module's main file first: its size is part of the contract.
func TestModuleStaysPrintable(t *testing.T) {
	f, err := os.Open("balance.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for in := bufio.NewScanner(f); in.Scan(); {
		text := strings.ReplaceAll(in.Text(), "\t", "    ")
		if n := utf8.RuneCountInString(text); n > 110 {
			t.Errorf("%d characters: %s", n, text)
		}
		if strings.TrimSpace(text) != "" {
			lines++
		}
	}
	if lines > 850 {
		t.Errorf("%d lines that are not blank, 850 allowed", lines)
	}
}
