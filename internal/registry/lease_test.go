package registry

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchvale/internal/statemachine"
)

// leaseModel is a simple model of the leases. The state machine must behave like it.
type leaseModel struct {
	held      map[string]Lease  // by lease name
	lastToken uint64            // token of the last grant
	accepted  map[string]uint64 // token of the last accepted fenced write, by lease name
}

// The lease state machine must return the same results as a simple model, over random acquisitions, releases, expiries,
// fenced writes and restores from a snapshot, which happen when a replica restarts or lags behind. The token must rise
// with every grant, no token may be issued twice, a lease may have only one holder, and no fenced write with a token
// below an accepted one may be accepted.
func TestLeaseStateMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(64)
		m := leaseModel{held: map[string]Lease{}, accepted: map[string]uint64{}}
		issued := map[uint64]bool{}
		name := rapid.SampledFrom([]string{"release-controller", "reaper"})
		holder := rapid.SampledFrom([]string{"p1", "p2", "p3"})
		s.Apply(&MemberCommand{Op: "register", Member: Member{ID: "m", HostPort: "127.0.0.1:1", Phase: PhaseReady}})
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				n, h := name.Draw(t, "name"), holder.Draw(t, "holder")
				r := s.Apply(&LeaseCommand{Op: "acquire", Lease: Lease{Name: n, Holder: h, TTLms: 1000}})
				l, ok := m.held[n]
				switch {
				case ok && l.Holder != h:
					if !errors.Is(r.Err, ErrLeaseHeld) {
						t.Fatalf("acquisition of a lease that another process holds: %+v, want ErrLeaseHeld", r)
					}
				case ok:
					if r.Err != nil || leaseOf(r).Token != l.Token {
						t.Fatalf("repeated acquisition by the holder: %+v, want token %d", r, l.Token)
					}
				default:
					m.lastToken++
					if r.Err != nil || leaseOf(r).Token != m.lastToken || issued[leaseOf(r).Token] {
						t.Fatalf("grant of a free lease: %+v, want token %d", r, m.lastToken)
					}
					issued[leaseOf(r).Token] = true
					m.held[n] = leaseOf(r)
				}
			},
			"release or expire": func(t *rapid.T) {
				n, h := name.Draw(t, "name"), holder.Draw(t, "holder")
				token := rapid.Uint64Range(0, m.lastToken+1).Draw(t, "token")
				op := rapid.SampledFrom([]statemachine.Operation{"release", "lease-expire"}).Draw(t, "op")
				r := s.Apply(&LeaseCommand{Op: op, Lease: Lease{Name: n, Holder: h, Token: token}})
				l, ok := m.held[n]
				if ok && l.Token == token && (op == "lease-expire" || l.Holder == h) {
					if r.Err != nil {
						t.Fatalf("%s with the current token: error %v, want none", op, r.Err)
					}
					delete(m.held, n)
				} else if !errors.Is(r.Err, ErrLeaseLost) {
					t.Fatalf("%s of a lease that is not held with this holder and token: %+v", op, r)
				}
			},
			"fenced write": func(t *rapid.T) {
				n := name.Draw(t, "name")
				token := rapid.Uint64Range(0, m.lastToken).Draw(t, "token")
				fence := &FencingToken{Lease: n, Token: token}
				r := s.Apply(&MemberCommand{Op: "phase", ID: "m", Phase: PhaseDraining, FencingToken: fence})
				if token < m.accepted[n] {
					if !errors.Is(r.Err, ErrStaleFencingToken) {
						t.Fatalf("fenced write with token %d after token %d was accepted: %+v", token, m.accepted[n], r)
					}
					return
				}
				if r.Err != nil {
					t.Fatalf("fenced write with token %d: error %v, want none", token, r.Err)
				}
				m.accepted[n] = token
			},
			"restore from a snapshot": func(t *rapid.T) {
				text, err := s.Encode()
				if err != nil {
					t.Fatal(err)
				}
				n := NewState(64)
				if err := n.Decode(text); err != nil {
					t.Fatal(err)
				}
				s = n
			},
			"": func(t *rapid.T) {
				if len(s.leases.ByName) != len(m.held) || s.leases.LastToken != m.lastToken {
					t.Fatalf("the state has %d leases and last token %d; the model has %d and %d",
						len(s.leases.ByName), s.leases.LastToken, len(m.held), m.lastToken)
				}
				for n, l := range m.held {
					if s.leases.ByName[n] != l {
						t.Fatalf("lease %s: the state has %+v, the model has %+v", n, s.leases.ByName[n], l)
					}
				}
			},
		})
	})
}

// Over HTTP, a lease has one holder at a time and expires when its TTL has elapsed without a renewal. Each grant gets a
// higher token, and a write with a token below an accepted one is rejected. After a release another process acquires
// the lease immediately. A new leader grants a lease that the old leader had granted only after a full TTL.
func TestLeaseExpiryReleaseAndFencingOverHTTP(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	url := func(i int, path string) string { return "http://" + c.http[i] + path }
	acquire := func(i int, holder string) (int, string) {
		return call(t, "POST", url(i, "/registry/leases/duty/acquire"), `{"holder":"`+holder+`","ttl_ms":300}`)
	}
	shortTTL := `{"holder":"p1","ttl_ms":50}`
	if code, text := call(t, "POST", url(lead, "/registry/leases/duty/acquire"), shortTTL); code != 400 {
		t.Fatalf("acquisition with a TTL shorter than two election timeouts: %d %s, want 400", code, text)
	}
	// The TTL starts when the lease is granted, which is not before this time.
	granted := time.Now()
	if code, text := acquire(lead, "p1"); code != 200 || !strings.Contains(text, `"token":1`) {
		t.Fatalf("first grant: %d %s, want 200 and token 1", code, text)
	}
	if code, _ := acquire((lead+1)%3, "p2"); code != 409 {
		t.Fatalf("acquisition of a held lease: status %d, want 409", code)
	}
	// p1 does not renew the lease. p2 acquires it after the TTL has elapsed, with a higher token.
	code, text := 0, ""
	for code != 200 && time.Since(granted) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		code, text = acquire(lead, "p2")
	}
	if waited := time.Since(granted); code != 200 || !strings.Contains(text, `"token":2`) || waited < 300*time.Millisecond {
		t.Fatalf("acquisition after the TTL: %d %s after %s, want 200 and token 2 after at least 300ms", code, text, waited)
	}
	writeWithToken := func(token string) int {
		body := strings.NewReader(`{"member":{"id":"s","host_port":"127.0.0.1:1"}}`)
		req, _ := http.NewRequest("POST", url(lead, "/registry/members"), body)
		req.Header.Set(fencingTokenHeader, token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got := writeWithToken("duty:2"); got != 200 {
		t.Fatalf("write of the holder: status %d, want 200", got)
	}
	if got := writeWithToken("duty:1"); got != 409 {
		t.Fatalf("write of the previous holder after a write of the new one: status %d, want 409", got)
	}
	// After a release another process acquires the lease immediately.
	release := url(lead, "/registry/leases/duty/release")
	if code, text := call(t, "POST", release, `{"holder":"p2","token":2}`); code != 200 {
		t.Fatalf("release: %d %s, want 200", code, text)
	}
	if code, text := acquire(lead, "p3"); code != 200 || !strings.Contains(text, `"token":3`) {
		t.Fatalf("acquisition after the release: %d %s, want 200 and token 3", code, text)
	}
	// The leader stops while p3 holds the lease. The next leader grants the lease to p4 only after a full TTL.
	c.stop(lead)
	stopped := time.Now()
	next := c.leader(t)
	code = 0
	for code != 200 && time.Since(stopped) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		code, _ = acquire(next, "p4")
	}
	if waited := time.Since(stopped); code != 200 || waited < 300*time.Millisecond {
		t.Fatalf("acquisition after a change of the leader: status %d after %s, want 200 after at least 300ms", code, waited)
	}
}

// leaseOf returns the lease in the result of a command, or a zero Lease if the result has none.
func leaseOf(r Result) Lease {
	l, _ := r.Value.(Lease)
	return l
}
