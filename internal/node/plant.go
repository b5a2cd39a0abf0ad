package node

import (
	"net/http"
	"sync/atomic"
	"time"
)

// plantDropInDrain is a planted fault for the lab's tests alone, set by the linker (-X): where it is not empty, a node that
// drains ends the connection of the first request that it takes then, without an answer.
var plantDropInDrain string

var planted atomic.Bool

// dropPlanted ends a request's connection where that is planted.
func (f *front) dropPlanted() {
	if plantDropInDrain != "" && f.shutdown.begun() && planted.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler)
	}
}

// plantShutdown is a planted fault for the lab's tests alone, set by the linker (-X): what of a shutdown is left out.
var plantShutdown string

const (
	plantUpgrade   = "upgrade"   // the schedule of a process that another one replaces is far too long
	plantRestart   = "restart"   // that of one that nobody replaces is
	plantSuccessor = "successor" // a process whose successor has gone does not serve again
)

// plantedDeadline puts the times of a planted schedule far behind the kill.
const plantedDeadline = 10 * time.Second

// plantSchedule lengthens the schedule of a process that is told to end, where that is planted.
func (f *front) plantSchedule() {
	if way := f.handed.Load(); way && plantShutdown == plantUpgrade || !way && plantShutdown == plantRestart {
		f.shutdown.deadline = plantedDeadline
	}
}
