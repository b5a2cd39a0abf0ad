package node

import (
	"net/http"
	"sync/atomic"
	"time"
)

// faultDropInDrain is a planted fault for the lab's tests alone, set by the linker (-X): where it is not empty, a node that
// drains ends the connection of the first request that it takes then, without an answer.
var faultDropInDrain string

var dropInjected atomic.Bool

// dropPlanted ends a request's connection where that is planted.
func (f *clientServer) injectDropInDrain() {
	if faultDropInDrain != "" && f.shutdown.started() && dropInjected.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler)
	}
}

// faultShutdown is a planted fault for the lab's tests alone, set by the linker (-X): what of a shutdown is left out.
var faultShutdown string

const (
	faultUpgrade   = "upgrade"   // the schedule of a process that another one replaces is far too long
	faultRestart   = "restart"   // that of one that nobody replaces is
	faultSuccessor = "successor" // a process whose successor has gone does not serve again
)

// plantedDeadline puts the times of a planted schedule far behind the kill.
const faultDeadline = 10 * time.Second

// plantSchedule lengthens the schedule of a process that is told to end, where that is planted.
func (f *clientServer) injectShutdownFault() {
	if way := f.handedOver.Load(); way && faultShutdown == faultUpgrade || !way && faultShutdown == faultRestart {
		f.shutdown.deadline = faultDeadline
	}
}
