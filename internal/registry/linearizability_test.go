package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// regInput is one operation on one member's phase: a write, or a read at a replica that led when it answered.
type registerInput struct {
	key   string
	write bool
	phase string
}

// registerModel is a register per member (porcupine's model, partitioned by member): a read gives the last
// phase written, "" before any.
var registerModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range h {
			k := op.Input.(registerInput).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.phase
		}
		return output.(string) == state.(string), state
	},
}

// history records operations from several clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
}

// schedule plays one randomized fault schedule: three clients write and read three members through random
// replicas while one replica (the leader half of the time) is stopped and opened again. Writes whose answer is
// lost may take effect at any time after their call; reads not served by a leader are left out, since followers
// serve as fresh as stale_read only.
func schedule(t *testing.T, c *cluster, seed uint64, h *history) {
	rng := rand.New(rand.NewPCG(seed, 9))
	keys := []string{fmt.Sprintf("k%d-a", seed), fmt.Sprintf("k%d-b", seed), fmt.Sprintf("k%d-c", seed)}
	victim, after := rng.IntN(len(c.replicas)), time.Duration(rng.IntN(30))*time.Millisecond
	if rng.IntN(2) == 0 {
		victim = c.leader(t)
	}
	var wg sync.WaitGroup
	for client := range 3 {
		crng := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for range 8 {
				in := registerInput{key: keys[crng.IntN(len(keys))], write: crng.IntN(2) == 0,
					phase: []string{PhaseReady, PhaseDraining}[crng.IntN(2)]}
				if op, ok := callRegister(c.http[crng.IntN(len(c.http))], in); ok {
					op.ClientId = client
					h.add(op)
				}
			}
		})
	}
	time.Sleep(after)
	c.stop(victim)
	time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
	c.restart(victim)
	wg.Wait()
}

// callRegister makes one call; it returns false for a read that no leader served, which says nothing of the order.
func callRegister(addr string, in registerInput) (porcupine.Operation, bool) {
	client := &http.Client{Timeout: time.Second}
	op := porcupine.Operation{Input: in, Call: time.Now().UnixNano()}
	if in.write {
		body := fmt.Sprintf(`{"member":{"id":%q,"host_port":"127.0.0.1:1","phase":%q}}`, in.key, in.phase)
		resp, err := client.Post("http://"+addr+"/registry/members", "application/json", strings.NewReader(body))
		op.Return, op.Output = math.MaxInt64, "" // unknown: it may take effect at any time after its call
		if err == nil {
			if resp.StatusCode == http.StatusOK {
				op.Return = time.Now().UnixNano()
			}
			resp.Body.Close()
		}
		return op, true
	}
	resp, err := client.Get("http://" + addr + "/registry/instances")
	if err != nil {
		return op, false
	}
	defer resp.Body.Close()
	var l MemberList
	if resp.StatusCode != http.StatusOK || resp.Header.Get(roleHeader) != "leader" ||
		json.NewDecoder(resp.Body).Decode(&l) != nil {
		return op, false
	}
	op.Return, op.Output = time.Now().UnixNano(), ""
	for _, m := range l.Members {
		if m.ID == in.key {
			op.Output = m.Phase
		}
	}
	return op, true
}

func checkSchedules(t *testing.T, ackEarly bool, schedules int) (linear bool, ops int) {
	c := newClusterWith(t, 3, ackEarly)
	c.leader(t)
	h := &history{}
	for s := range schedules {
		schedule(t, c, uint64(s)+1, h)
	}
	res := porcupine.CheckOperationsTimeout(registerModel, h.ops, 30*time.Second)
	return res == porcupine.Ok, len(h.ops)
}

// Over 100 randomized schedules of a replica stopped and opened again under writes and reads, the history of
// each member is linearizable (porcupine).
func TestRegistryIsLinearizable(t *testing.T) {
	linear, ops := checkSchedules(t, false, 100)
	if !linear {
		t.Fatalf("not linearizable over %d operations", ops)
	}
	t.Logf("linearizable over %d operations", ops)
}

// The same check must catch writes acknowledged before raft commits them.
func TestLinearizabilityDetectsAckBeforeCommit(t *testing.T) {
	// How many schedules it takes depends on how quick the machine is: it has to show in some of many.
	total := 0
	for range 8 {
		linear, ops := checkSchedules(t, true, 30)
		if total += ops; !linear {
			return
		}
	}
	t.Fatalf("acknowledging before commit passed over %d operations", total)
}
