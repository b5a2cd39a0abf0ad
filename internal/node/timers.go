package node

import (
	"container/heap"
	"time"
)

// idleWait is how long the event loop waits for a message where no timer is set.
const idleWait = time.Hour

// timerQueue holds the timers that the Balancer has set. Timers that are due at the same time fire in the order in
// which they were added. The zero value is empty.
type timerQueue struct {
	heap  timerHeap
	added uint64 // how many timers were ever added
}

// add sets a timer that is due at a time of the loop's clock.
func (q *timerQueue) add(at time.Duration, id uint64) {
	q.added++
	heap.Push(&q.heap, timer{at: at, sequence: q.added, id: id})
}

// wait returns how long it is until the next timer is due; idleWait if there is none. It is not positive for one that
// is due already.
func (q *timerQueue) wait(now time.Duration) time.Duration {
	if len(q.heap) == 0 {
		return idleWait
	}
	return q.heap[0].at - now
}

// popDue removes the next timer that is due and returns the id under which it was set.
func (q *timerQueue) popDue(now time.Duration) (id uint64, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return 0, false
	}
	return heap.Pop(&q.heap).(timer).id, true
}

// timer is a balance.TimerFired event to come.
type timer struct {
	at       time.Duration
	sequence uint64
	id       uint64
}

// timerHeap implements heap.Interface, the earliest timer first.
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
