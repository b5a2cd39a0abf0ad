package balance

import "testing"

// A request that is lost at a server with little else to answer must not cost it its traffic while probes tell
// that it serves. One that answers nobody, probes included, loses it.
func TestProbesAreSignsOfLife(t *testing.T) {
	for name, tc := range map[string]struct {
		probe Status
		fails float64
	}{
		"answered":    {Delivered, 0},
		"turned away": {Shed, 1},
		"silent":      {Expired, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, site(), member(1, 0, 0))
			r.serve(50, safe, steady)
			s := r.b.servers[1]
			s.fails = 0
			r.arrive("lost", safe)
			r.wait(300 * ms)
			r.do(Event{Kind: Probed, Backend: 1, Status: tc.probe, Spent: 10 * ms})
			r.wait(700 * ms)
			r.outcome("lost", 0, 1, Expired)
			if s.fails != tc.fails {
				t.Errorf("rate of failures %v, want %v", s.fails, tc.fails)
			}
		})
	}
}
