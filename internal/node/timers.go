package node

import (
	"container/heap"
	"time"
)

// idleWait is how long the event loop waits for a message when no timer is set.
const idleWait = time.Hour

// timerQueue holds the timers that the Balancer has set. Timers that are due at the same time fire in the order in
// which they were added. The zero value is an empty queue.
type timerQueue struct {
	heap  timerHeap
	added uint64 // number of timers ever added
}

// add sets a timer that is due at the given time on the loop's clock.
func (q *timerQueue) add(at time.Duration, id uint64) {
	q.added++
	heap.Push(&q.heap, timer{at: at, sequence: q.added, id: id})
}

// wait returns the time until the next timer is due, or idleWait if there is no timer. The result is zero or negative
// if a timer is already due.
func (q *timerQueue) wait(now time.Duration) time.Duration {
	if len(q.heap) == 0 {
		return idleWait
	}
	return q.heap[0].at - now
}

// popDue removes the next timer that is due and returns its id. It returns false if no timer is due.
func (q *timerQueue) popDue(now time.Duration) (id uint64, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return 0, false
	}
	return heap.Pop(&q.heap).(timer).id, true
}

// timer is a timer that has not fired yet.
type timer struct {
	at       time.Duration // when the timer is due, on the loop's clock
	sequence uint64        // orders timers that are due at the same time
	id       uint64        // the Balancer's id, for balance.TimerFired
}

// timerHeap implements heap.Interface with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
