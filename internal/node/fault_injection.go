package node

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Faults that the lab's tests inject, to prove that its checks find them. The linker sets the variables (-X); they are
// empty in every other build.
var (
	// faultDropInDrain, where not empty, has a draining node close the connection of the first request that it admits,
	// without a response.
	faultDropInDrain string
	// faultShutdown names the part of the shutdown that is left out: one of the constants below.
	faultShutdown string
)

const (
	// faultUpgrade lengthens the shutdown schedule of a process that has handed over.
	faultUpgrade = "upgrade"
	// faultRestart lengthens the shutdown schedule of a process that has not.
	faultRestart = "restart"
	// faultSuccessor has a process whose successor has ended not serve again.
	faultSuccessor = "successor"
)

// faultDeadline puts the times of a lengthened schedule far behind the kill.
const faultDeadline = 10 * time.Second

// dropInjected is set once faultDropInDrain has had its effect.
var dropInjected atomic.Bool

// injectDropInDrain closes a request's connection where faultDropInDrain says so.
func (f *clientServer) injectDropInDrain() {
	if faultDropInDrain != "" && f.shutdown.started() && dropInjected.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler)
	}
}

// injectShutdownFault lengthens the schedule of a process that is shutting down where faultShutdown says so.
func (f *clientServer) injectShutdownFault() {
	handedOver := f.handedOver.Load()
	if handedOver && faultShutdown == faultUpgrade || !handedOver && faultShutdown == faultRestart {
		f.shutdown.longestDeadline = faultDeadline
	}
}
