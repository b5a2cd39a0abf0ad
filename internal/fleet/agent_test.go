package fleet

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// After its session expired, a process learns that its name has had a later session. If the later session was its own,
// and only the response to OpenSession was lost, the process opens a new session. If another process had the later
// session, the process is superseded.
func TestOwnSessionWithLostResponseDoesNotSupersede(t *testing.T) {
	for _, lastProcess := range []string{"p", "q"} {
		synctest.Test(t, func(t *testing.T) {
			m := newRegistryModel(1)
			m.noFaults = true
			l := &link{registryModel: m, node: "n", processEnded: t.Context(), calls: &m.calls}
			a := NewAgent(AgentConfig{Node: "n", Address: "127.0.0.1:1", Interval: time.Second}, "p", l,
				func() Report { return Report{} }, slog.New(slog.DiscardHandler))
			if err := a.openSession(t.Context()); err != nil || a.incarnation != 1 {
				t.Fatal(a.incarnation, err)
			}
			s := session("n", "p", 1)
			for _, c := range []SessionCommand{
				{"session-expire", s},
				{"session-open", session("n", lastProcess, 2)},
				{"session-expire", session("n", lastProcess, 2)},
			} {
				if _, err := m.apply(c.Op, c.Session); err != nil {
					t.Fatal(err)
				}
			}
			a.incarnation = 0
			err := a.openSession(t.Context())
			if lastProcess == "p" && (err != nil || a.incarnation != 3) ||
				lastProcess == "q" && !errors.Is(err, ErrSuperseded) {
				t.Errorf("after a session of process %s: incarnation %d, error %v; want 3 if it is p, ErrSuperseded if it is q",
					lastProcess, a.incarnation, err)
			}
			synctest.Wait()
			m.calls.Wait()
		})
	}
}
