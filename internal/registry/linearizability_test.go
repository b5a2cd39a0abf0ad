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

// registerInput is one operation on the phase of one member: a write, or a read that a leader served.
type registerInput struct {
	key   string // member ID
	write bool
	phase string // the phase to write
}

// registerModel is the model that porcupine checks the operations against. Each member is a register: a read returns
// the phase that was last written, or "" before the first write. The operations are partitioned by member.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byMember := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(registerInput).key
			byMember[k] = append(byMember[k], op)
		}
		var partitions [][]porcupine.Operation
		for _, ops := range byMember {
			partitions = append(partitions, ops)
		}
		return partitions
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

// history records the operations of several clients. It is safe for concurrent use.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
}

// runFaultSchedule runs one random fault schedule: three clients write and read three members through random replicas
// while one replica is stopped and restarted. With a probability of one half the stopped replica is the leader,
// otherwise it is a random replica. A write whose response is lost may take effect at any time after its call. Reads
// that were not served by a leader are not recorded, since the state of a follower may be out of date by up to
// stale_read.
func runFaultSchedule(t *testing.T, c *cluster, seed uint64, h *history) {
	rng := rand.New(rand.NewPCG(seed, 9))
	keys := []string{fmt.Sprintf("k%d-a", seed), fmt.Sprintf("k%d-b", seed), fmt.Sprintf("k%d-c", seed)}
	stoppedReplica, stopDelay := rng.IntN(len(c.replicas)), time.Duration(rng.IntN(30))*time.Millisecond
	if rng.IntN(2) == 0 {
		stoppedReplica = c.leader(t)
	}
	var wg sync.WaitGroup
	for client := range 3 {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for range 8 {
				in := registerInput{key: keys[clientRNG.IntN(len(keys))], write: clientRNG.IntN(2) == 0,
					phase: []string{PhaseReady, PhaseDraining}[clientRNG.IntN(2)]}
				if op, ok := callRegister(c.http[clientRNG.IntN(len(c.http))], in); ok {
					op.ClientId = client
					h.add(op)
				}
			}
		})
	}
	time.Sleep(stopDelay)
	c.stop(stoppedReplica)
	time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
	c.restart(stoppedReplica)
	wg.Wait()
}

// callRegister performs one operation. It returns false for a read that no leader served.
func callRegister(addr string, in registerInput) (porcupine.Operation, bool) {
	client := &http.Client{Timeout: time.Second}
	op := porcupine.Operation{Input: in, Call: time.Now().UnixNano()}
	if in.write {
		body := fmt.Sprintf(`{"member":{"id":%q,"host_port":"127.0.0.1:1","phase":%q}}`, in.key, in.phase)
		resp, err := client.Post("http://"+addr+"/registry/members", "application/json", strings.NewReader(body))
		op.Return, op.Output = math.MaxInt64, "" // without a response the write may take effect at any time after its call
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

// runAndCheckSchedules runs fault schedules on a new cluster. It reports whether the history of the operations is
// linearizable, and returns the number of operations.
func runAndCheckSchedules(t *testing.T, ackBeforeCommit bool, schedules int) (linearizable bool, ops int) {
	c := newClusterWithFault(t, 3, ackBeforeCommit)
	c.leader(t)
	h := &history{}
	for s := range schedules {
		runFaultSchedule(t, c, uint64(s)+1, h)
	}
	res := porcupine.CheckOperationsTimeout(registerModel, h.ops, 30*time.Second)
	return res == porcupine.Ok, len(h.ops)
}

// The history of each member is linearizable over 100 random schedules in which a replica is stopped and restarted
// during writes and reads. Porcupine checks the history.
func TestRegistryIsLinearizable(t *testing.T) {
	linearizable, ops := runAndCheckSchedules(t, false, 100)
	if !linearizable {
		t.Fatalf("the history of %d operations is not linearizable", ops)
	}
	t.Logf("the history of %d operations is linearizable", ops)
}

// The same check must detect that writes are acknowledged before raft commits them.
func TestLinearizabilityDetectsAckBeforeCommit(t *testing.T) {
	// The number of schedules until the fault shows depends on the speed of the machine, so the test tries several
	// clusters and passes as soon as one history is not linearizable.
	total := 0
	for range 8 {
		linearizable, ops := runAndCheckSchedules(t, true, 30)
		if total += ops; !linearizable {
			return
		}
	}
	t.Fatalf("%d operations did not show that writes are acknowledged before the commit", total)
}
