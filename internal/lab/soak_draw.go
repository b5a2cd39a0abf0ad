package lab

import (
	"math/rand/v2"
	"slices"
	"time"
)

// soakFaultStream is the random stream of a soak's faults. It keeps their draws independent of other draws from the
// same seed.
const soakFaultStream = 0x50a1

// groupSpan is the time within which all faults of a group begin. Most faults last longer, so the faults
// of a group overlap.
const groupSpan = 300 * time.Millisecond

// faultDrawer draws a soak's faults. They depend only on the scenario and its seed.
type faultDrawer struct {
	scenario Scenario
	rng      *rand.Rand
	faults   []Fault
}

// drawSoak returns the faults of a soak, sorted by time.
func drawSoak(scenario Scenario) []Fault {
	drawer := &faultDrawer{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, soakFaultStream))}
	// No group starts within one client deadline of the end of the load, so that load follows the last faults.
	end := scenario.Duration.Duration - scenario.Load.Deadline.Duration
	for at := scenario.Soak.FirstFaultAt.Duration; at < end; at += scenario.Soak.GroupInterval.Duration {
		drawer.drawGroup(at)
	}
	slices.SortStableFunc(drawer.faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return drawer.faults
}

// drawGroup draws the faults of a group. About half of them hit the same node and backend as the previous fault,
// because faults that coincide at one process are rarely tested together.
func (drawer *faultDrawer) drawGroup(at time.Duration) {
	node := drawer.rng.IntN(drawer.scenario.Nodes)
	backend := drawer.rng.IntN(drawer.scenario.Backends)
	for range drawer.scenario.Soak.GroupSize {
		if drawer.rng.IntN(2) == 0 {
			node = drawer.rng.IntN(drawer.scenario.Nodes)
			backend = drawer.rng.IntN(drawer.scenario.Backends)
		}
		drawer.drawSequence(at+drawer.span(0, groupSpan), node, backend)
	}
}

// span draws a time between from and to.
func (drawer *faultDrawer) span(from, to time.Duration) time.Duration {
	return from + time.Duration(drawer.rng.Float64()*float64(to-from))
}

// add adds a fault and returns it, so that the caller can set its other fields before the next call of add.
func (drawer *faultDrawer) add(at time.Duration, kind, target string) *Fault {
	drawer.faults = append(drawer.faults, Fault{At: Duration{Duration: at}, Kind: kind, Target: []string{target}})
	return &drawer.faults[len(drawer.faults)-1]
}

// addLasting adds a fault that is undone after a time drawn between from and to.
func (drawer *faultDrawer) addLasting(at time.Duration, kind, target string, from, to time.Duration) {
	duration := drawer.span(from, to)
	drawer.add(at, kind, target).For.Duration = duration
}

// faultSequence is a drawn fault together with its follow-up faults, such as a restart.
type faultSequence int

// The sequences, in the order of the drawn numbers. Sequences from plainSequenceCount on are drawn only in a soak with
// upgrades.
const (
	sequenceTerminate faultSequence = iota
	sequenceReloadThenTerminate
	sequenceTerminateThenReload
	sequenceKillNode
	sequenceReload
	sequenceDrain
	sequenceKillBackend
	sequencePauseBackend
	sequenceOutage
	sequenceLink
	sequenceHold
	sequenceUpgradeTwice
	sequenceUpgradeThenKill
	sequenceUpgradeThenTerminate
	sequenceUpgradeThenReload
	sequenceUpgradeThenTerminateTwice
	sequenceUpgrade
	sequenceUpgradeAgain // draws the same as sequenceUpgrade, which is therefore drawn twice as often
	sequenceCount

	plainSequenceCount = sequenceUpgradeTwice
)

// drawSequence draws one sequence of faults at a node or backend. The first fault of the sequence is at the given time.
func (drawer *faultDrawer) drawSequence(at time.Duration, nodeIndex, backendIndex int) {
	node := processName(roleNode, nodeIndex)
	backend := processName(roleBackend, backendIndex)
	count := plainSequenceCount
	if drawer.scenario.Soak.Upgrades {
		count = sequenceCount
	}
	switch sequence := faultSequence(drawer.rng.IntN(int(count))); sequence {
	case sequenceTerminate, sequenceReloadThenTerminate, sequenceTerminateThenReload:
		drawer.drawTermination(sequence, at, node)
	case sequenceKillNode:
		drawer.add(at, faultKill, node)
		drawer.add(at+drawer.span(300*time.Millisecond, time.Second), faultRestart, node)
	case sequenceReload:
		drawer.add(at, faultReload, node)
	case sequenceDrain, sequenceKillBackend, sequencePauseBackend:
		drawer.drawBackendFault(sequence, at, backend)
	case sequenceOutage:
		drawer.addLasting(at, faultOutage, discoveryTarget, 500*time.Millisecond, 3*time.Second)
	case sequenceLink:
		drawer.drawLinkFault(at, node, backend)
	case sequenceHold:
		if drawer.scenario.isTraced(nodeIndex) {
			drawer.add(at, faultReload, node) // instead of a hold: SIGSTOP does not stop a traced process
			return
		}
		drawer.addLasting(at, faultHold, node, 40*time.Millisecond, 120*time.Millisecond)
	default:
		drawer.drawUpgrade(sequence, at, node)
	}
}

// drawTermination terminates a node with SIGTERM and restarts it. Two of the sequences add a reload just before or
// after the SIGTERM.
func (drawer *faultDrawer) drawTermination(sequence faultSequence, at time.Duration, node string) {
	killAfter := drawer.scenario.killAfter()
	switch sequence {
	case sequenceReloadThenTerminate:
		drawer.add(at, faultReload, node)
		terminateAt := at + drawer.span(0, groupSpan)
		drawer.add(terminateAt, faultTerminate, node)
		drawer.add(terminateAt+killAfter, faultRestart, node)
	case sequenceTerminateThenReload:
		drawer.add(at, faultTerminate, node)
		drawer.add(at+drawer.span(0, groupSpan), faultReload, node)
		drawer.add(at+killAfter, faultRestart, node)
	default:
		drawer.add(at, faultTerminate, node)
		drawer.add(at+killAfter, faultRestart, node)
	}
}

// drawBackendFault drains, kills or pauses a backend, and later undoes the fault.
func (drawer *faultDrawer) drawBackendFault(sequence faultSequence, at time.Duration, backend string) {
	switch sequence {
	case sequenceDrain:
		drawer.add(at, faultDrain, backend)
		drawer.add(at+drawer.span(1500*time.Millisecond, 3*time.Second), faultRejoin, backend)
	case sequenceKillBackend:
		drawer.add(at, faultKill, backend)
		drawer.add(at+drawer.span(500*time.Millisecond, 2*time.Second), faultRejoin, backend)
	default:
		drawer.addLasting(at, faultPause, backend, 300*time.Millisecond, 2*time.Second)
	}
}

// drawLinkFault adds a fault on the links of one node to all backends, or of all nodes to one backend.
func (drawer *faultDrawer) drawLinkFault(at time.Duration, node, backend string) {
	link := []string{node + ":backend-*", "node-*:" + backend}[drawer.rng.IntN(2)]
	kind := []string{faultPartition, faultDelay, faultReset}[drawer.rng.IntN(3)]
	delay := drawer.span(20*time.Millisecond, 300*time.Millisecond)
	duration := drawer.span(300*time.Millisecond, 1500*time.Millisecond)
	fault := drawer.add(at, kind, link)
	fault.For.Duration = duration
	fault.Delay.Duration = delay
}

// drawUpgrade replaces a node's process. Most sequences add a fault of the successor soon after. In about half of all
// draws, every second backend is paused too.
func (drawer *faultDrawer) drawUpgrade(sequence faultSequence, at time.Duration, node string) {
	if drawer.rng.IntN(2) == 0 {
		drawer.drawPausedBackends(at)
	}
	drawer.add(at, faultUpgrade, node)
	end := drawer.scenario.Duration.Duration
	soon := min(at+drawer.span(20*time.Millisecond, 1500*time.Millisecond), end)
	switch sequence {
	case sequenceUpgradeTwice:
		drawer.add(soon, faultUpgrade, node)
	case sequenceUpgradeThenKill: // the kill comes before or after the SIGTERM of the replaced process
		drawer.add(soon, faultKill, node)
		drawer.add(soon+drawer.span(500*time.Millisecond, 2*time.Second), faultRestart, node)
	case sequenceUpgradeThenTerminate:
		drawer.add(soon, faultTerminate, node)
		drawer.add(soon+drawer.scenario.killAfter(), faultRestart, node)
	case sequenceUpgradeThenReload:
		drawer.add(soon, faultReload, node)
	case sequenceUpgradeThenTerminateTwice:
		drawer.add(soon, faultTerminate, node)
		second := soon + drawer.span(50*time.Millisecond, 600*time.Millisecond)
		drawer.add(min(second, end), faultTerminate, node)
		drawer.add(soon+drawer.scenario.killAfter(), faultRestart, node)
	}
}

// drawPausedBackends pauses every second backend soon after at. All of these pauses begin and end at the same time.
func (drawer *faultDrawer) drawPausedBackends(at time.Duration) {
	from := at + drawer.span(0, 800*time.Millisecond)
	duration := drawer.span(time.Second, 2500*time.Millisecond)
	for index := drawer.rng.IntN(2); index < drawer.scenario.Backends; index += 2 {
		drawer.add(from, faultPause, processName(roleBackend, index)).For.Duration = duration
	}
}
