package node

import (
	"net/http"
	"sync/atomic"
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
