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

// The README lists the log lines of the Balancer. Each listed line is logged, and the log stays short.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.PollDiscovery = true
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(100, idempotent, in20ms)
	for range 80 {
		h.advance(200 * ms)
		h.serve(20, idempotent, func(id EndpointID) time.Duration { return time.Duration(2-id) * 150 * ms })
	}
	for range 40 {
		h.advance(1500 * ms)
		h.serve(20, idempotent, func(id EndpointID) time.Duration { return time.Duration(3-id) * 15 * ms })
	}
	h.answerLate(200)
	h.serve(3000, idempotent, in20ms)
	h.recordLogs(h.handle(DiscoveryFailed{}))
	h.recordLogs(h.handle(DiscoveryFailed{}))
	h.recordLogs(h.handle(EndpointsListed{Kind: CompleteList}))
	for _, text := range []string{
		"endpoint N is an outlier: traffic withheld",
		"endpoint N has recovered",
		"no ready endpoint",
		"answers are late: rejecting requests early",
		"answers are in time again: early rejection ended",
		"discovery unavailable: polling again",
	} {
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("README.md does not contain %q", text)
		}
		if !h.logged(strings.ReplaceAll(text, "N", "2")) {
			t.Errorf("not logged: %q, only %q", text, h.logs)
		}
	}
	if len(h.logs) > 12 {
		t.Errorf("%d log lines, want at most 12: %q", len(h.logs), h.logs)
	}
}

// A caller whose clock goes back, or that reports an outcome twice, must not make the Balancer panic, forward a request
// twice or count below zero.
func TestRepeatedOutcomesAndPastTimesAreIgnored(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("x", nonIdempotent)
	to := h.forwardedTo()
	h.advance(-30 * time.Minute)
	h.endAttempt("x", 0, to, StatusSucceeded)
	for _, acts := range [][]Action{
		h.endAttempt("x", 0, to, StatusNotDelivered),
		h.endAttempt("x", 5, to, StatusSucceeded),
		h.endAttempt("x", -1, to, StatusSucceeded),
		h.handle(TimerFired{ID: 1 << 40}),
		h.handle(nil),
	} {
		if len(acts) != 0 {
			t.Errorf("actions for an unknown or repeated event: %+v, want none", acts)
		}
	}
	for range 50 {
		h.serve(1, idempotent, in20ms)
	}
	if h.b.now < time.Hour {
		t.Errorf("the clock went back to %v", h.b.now)
	}
	for id, s := range h.b.endpoints {
		if s.inFlight != 0 || math.IsNaN(h.b.costSeconds(s)) {
			t.Errorf("endpoint %d has attempts in flight or no valid cost: %+v", id, *s)
		}
	}
}

// Events that name an unknown request, attempt, endpoint, class or timer forward nothing.
func TestEventsWithUnknownNamesAreIgnored(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.arrive("x", idempotent)
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
		if acts := ofKind(Forward, h.handle(ev)); len(acts) != 0 {
			t.Errorf("event %+v: forwarded %+v, want nothing", ev, acts)
		}
	}
	if h.handle(ClientDisconnected{Request: "x"}); len(h.last) != 0 {
		t.Errorf("actions after the client has disconnected: %+v, want none", h.last)
	}
}

// New rejects a Config with negative counts or times and accepts an empty Config.
func TestNewRejectsNegativeCounts(t *testing.T) {
	for _, cfg := range []Config{{Instances: -1}, {Index: -1}, {Limits: Limits{MaxAttempts: -1}},
		{Classes: []Class{{Deadline: -1}}}} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("New accepted %+v, want an error", cfg)
		}
	}
	if _, err := New(Config{}, 1); err != nil {
		t.Errorf("New rejected an empty Config: %v", err)
	}
}

// balance.go is the file that a newcomer reads first, so the number of its lines and their length are limited.
func TestBalanceFileHasFewAndShortLines(t *testing.T) {
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
