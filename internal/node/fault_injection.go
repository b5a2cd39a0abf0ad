package node

import (
	"net/http"
	"sync/atomic"
	"time"
)

// These variables select faults that the lab's tests inject to verify that the lab's checks find them. The linker sets
// them (-X); they are empty in every other build.
var (
	// faultDropInDrain, if not empty, makes a draining node close the connection of the first request that it admits,
	// without a response.
	faultDropInDrain string
	// faultShutdown selects a fault of the shutdown or the hand-over: it is one of the constants below.
	faultShutdown string
)

const (
	// faultUpgrade lengthens the shutdown schedule of a process that has handed over.
	faultUpgrade = "upgrade"
	// faultRestart lengthens the shutdown schedule of a process that has not handed over.
	faultRestart = "restart"
	// faultSuccessor keeps a process whose successor has ended from serving again.
	faultSuccessor = "successor"
)

// faultDeadline is the longest deadline of a lengthened schedule. It moves the instants of the schedule far beyond
// the time of SIGKILL.
const faultDeadline = 10 * time.Second

// dropInjected is set once faultDropInDrain has had its effect.
var dropInjected atomic.Bool

// injectDropInDrain aborts the request that faultDropInDrain selects, which closes its connection.
func (s *clientServer) injectDropInDrain() {
	if faultDropInDrain != "" && s.shutdown.started() && dropInjected.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler)
	}
}

// injectShutdownFault lengthens the shutdown schedule if faultShutdown selects this process.
func (s *clientServer) injectShutdownFault() {
	handedOver := s.handedOver.Load()
	if handedOver && faultShutdown == faultUpgrade || !handedOver && faultShutdown == faultRestart {
		s.shutdown.longestDeadline = faultDeadline
	}
}
