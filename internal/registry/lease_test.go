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

// leaseModel is the plain model that the state machine must agree with.
type leaseModel struct {
	held   map[string]Lease
	tokens uint64
	fenced map[string]uint64
}

// The lease state machine against a plain model, over random acquires, releases, expiries, fenced writes and
// snapshot restores (a replica's restart or a new leader's catch-up): the same answers, a token that rises with
// every grant and is never issued twice, one holder a lease, and no fenced write below an accepted token.
func TestLeaseStateMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(64)
		m := leaseModel{held: map[string]Lease{}, fenced: map[string]uint64{}}
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
						t.Fatalf("acquire of a held lease: %+v", r)
					}
				case ok:
					if r.Err != nil || lease(r).Token != l.Token {
						t.Fatalf("acquire again by its holder: %+v, want token %d", r, l.Token)
					}
				default:
					m.tokens++
					if r.Err != nil || lease(r).Token != m.tokens || issued[lease(r).Token] {
						t.Fatalf("grant: %+v, want token %d", r, m.tokens)
					}
					issued[lease(r).Token] = true
					m.held[n] = lease(r)
				}
			},
			"release or expire": func(t *rapid.T) {
				n, h := name.Draw(t, "name"), holder.Draw(t, "holder")
				token := rapid.Uint64Range(0, m.tokens+1).Draw(t, "token")
				op := rapid.SampledFrom([]statemachine.Operation{"release", "lease-expire"}).Draw(t, "op")
				r := s.Apply(&LeaseCommand{Op: op, Lease: Lease{Name: n, Holder: h, Token: token}})
				l, ok := m.held[n]
				if ok && l.Token == token && (op == "lease-expire" || l.Holder == h) {
					if r.Err != nil {
						t.Fatalf("%s: %v", op, r.Err)
					}
					delete(m.held, n)
				} else if !errors.Is(r.Err, ErrLeaseLost) {
					t.Fatalf("%s of a lease not so held: %+v", op, r)
				}
			},
			"fenced write": func(t *rapid.T) {
				n := name.Draw(t, "name")
				token := rapid.Uint64Range(0, m.tokens).Draw(t, "token")
				fence := &FencingToken{Lease: n, Token: token}
				r := s.Apply(&MemberCommand{Op: "phase", ID: "m", Phase: PhaseDraining, FencingToken: fence})
				if token < m.fenced[n] {
					if !errors.Is(r.Err, ErrStaleFencingToken) {
						t.Fatalf("token %d below %d accepted: %+v", token, m.fenced[n], r)
					}
					return
				}
				if r.Err != nil {
					t.Fatalf("fenced write with token %d: %v", token, r.Err)
				}
				m.fenced[n] = token
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
				if len(s.leases.ByName) != len(m.held) || s.leases.LastToken != m.tokens {
					t.Fatalf("state %d leases, token %d; model %d, %d",
						len(s.leases.ByName), s.leases.LastToken, len(m.held), m.tokens)
				}
				for n, l := range m.held {
					if s.leases.ByName[n] != l {
						t.Fatalf("lease %s: %+v, model %+v", n, s.leases.ByName[n], l)
					}
				}
			},
		})
	})
}

// Over HTTP: one holder at a time, renewals on the leader's clock, expiry after the TTL, a rising token, fenced
// writes refused below the newest token, release for an immediate handover, and a new leader that waits a full
// TTL before granting a lease the old one had granted.
func TestLeaseHandsOverAndFences(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	url := func(i int, path string) string { return "http://" + c.http[i] + path }
	acquire := func(i int, holder string) (int, string) {
		return call(t, "POST", url(i, "/registry/leases/duty/acquire"), `{"holder":"`+holder+`","ttl_ms":300}`)
	}
	shortTTL := `{"holder":"p1","ttl_ms":50}`
	if code, text := call(t, "POST", url(lead, "/registry/leases/duty/acquire"), shortTTL); code != 400 {
		t.Fatalf("a TTL shorter than two elections: %d %s", code, text)
	}
	// The TTL runs from the grant, which is no earlier than this.
	granted := time.Now()
	if code, text := acquire(lead, "p1"); code != 200 || !strings.Contains(text, `"token":1`) {
		t.Fatalf("first grant: %d %s", code, text)
	}
	if code, _ := acquire((lead+1)%3, "p2"); code != 409 {
		t.Fatalf("a held lease granted again: %d", code)
	}
	// p1 stops renewing; p2 gets it once the TTL has passed, with a higher token.
	code, text := 0, ""
	for code != 200 && time.Since(granted) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		code, text = acquire(lead, "p2")
	}
	if waited := time.Since(granted); code != 200 || !strings.Contains(text, `"token":2`) || waited < 300*time.Millisecond {
		t.Fatalf("after the TTL: %d %s after %s", code, text, waited)
	}
	fenced := func(token string) int {
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
	if got := fenced("duty:2"); got != 200 {
		t.Fatalf("the holder's fenced write: %d", got)
	}
	if got := fenced("duty:1"); got != 409 {
		t.Fatalf("the old holder's write after the new one's: %d", got)
	}
	// Release hands over at once.
	release := url(lead, "/registry/leases/duty/release")
	if code, text := call(t, "POST", release, `{"holder":"p2","token":2}`); code != 200 {
		t.Fatalf("release: %d %s", code, text)
	}
	if code, text := acquire(lead, "p3"); code != 200 || !strings.Contains(text, `"token":3`) {
		t.Fatalf("after release: %d %s", code, text)
	}
	// The leader stops while p3 holds the lease: the next leader waits a full TTL before p4 may have it.
	c.stop(lead)
	stopped := time.Now()
	next := c.leader(t)
	code = 0
	for code != 200 && time.Since(stopped) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		code, _ = acquire(next, "p4")
	}
	if waited := time.Since(stopped); code != 200 || waited < 300*time.Millisecond {
		t.Fatalf("after a leader change: %d after %s", code, waited)
	}
}

// lease is the lease that a command's result gives; none where it failed.
func lease(r Result) Lease {
	l, _ := r.Value.(Lease)
	return l
}
