package fleet

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// A process whose session was opened while the answer was lost, and expired before it learned of it, continues under
// its name; one whose name another process had since is superseded. Seed 9294 of the model found the first.
func TestOwnSessionWithLostAnswerDoesNotSupersede(t *testing.T) {
	for _, by := range []string{"p", "q"} {
		synctest.Test(t, func(t *testing.T) {
			w := newRegistryModel(1)
			w.noFaults = true
			l := &link{registryModel: w, node: "n", processEnded: t.Context(), calls: &w.calls}
			a := NewAgent(AgentConfig{Node: "n", Address: "127.0.0.1:1", Interval: time.Second}, "p", l,
				func() Report { return Report{} }, slog.New(slog.DiscardHandler))
			if err := a.openSession(t.Context()); err != nil || a.incarnation != 1 {
				t.Fatal(a.incarnation, err)
			}
			s := session("n", "p", 1)
			for _, c := range []SessionCommand{
				{"session-expire", s},
				{"session-open", session("n", by, 2)},
				{"session-expire", session("n", by, 2)},
			} {
				if _, err := w.apply(c.Op, c.Session); err != nil {
					t.Fatal(err)
				}
			}
			a.incarnation = 0
			err := a.openSession(t.Context())
			if by == "p" && (err != nil || a.incarnation != 3) || by == "q" && !errors.Is(err, ErrSuperseded) {
				t.Errorf("the last by %s: incarnation %d, %v", by, a.incarnation, err)
			}
			synctest.Wait()
			w.calls.Wait()
		})
	}
}
