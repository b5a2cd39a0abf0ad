package node

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// begunRequestMemory divides the memory limit: the result is how many ids of one generation are remembered.
	begunRequestMemory = 2 << 10
	// maxBegunRequests bounds the ids of one generation, so that a hand-over can pass them on in one message.
	maxBegunRequests = 64 << 10
	// begunGenerationTime is after how long a new generation of ids begins. The ids of the generation before are
	// remembered too.
	begunGenerationTime = 30 * time.Second
	// requestHashBytes is the length of a requestHash in a message.
	requestHashBytes = 8
)

// requestHash identifies a request by a hash of its id. Processes of other versions exchange it.
type requestHash uint64

// hashOf returns the hash of a request's id.
func hashOf(id string) requestHash { return requestHash(xxhash.Sum64String(id)) }

// begunRequests remembers which requests that must not run twice have been sent to a backend lately, in this process or
// in another process of the node. The client of such a request may leave and send it again, although it must give each
// request a new id (PROTOCOL). Only the event loop may use it.
type begunRequests struct {
	limit    int // ids of one generation
	current  map[requestHash]struct{}
	previous map[requestHash]struct{}
	since    time.Duration // when the current generation began, on the loop's clock
}

// newBegunRequests returns an empty record for a memory limit in MiB; 0 stands for defaultMemoryMB.
func newBegunRequests(memoryMB int64) *begunRequests {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	limit := min(memoryMB<<20/begunRequestMemory, maxBegunRequests)
	return &begunRequests{limit: int(limit), current: map[requestHash]struct{}{}}
}

// add remembers a request.
func (b *begunRequests) add(request requestHash, now time.Duration) {
	if len(b.current) >= b.limit || now-b.since >= begunGenerationTime {
		b.previous = b.current
		b.current = map[requestHash]struct{}{}
		b.since = now
	}
	b.current[request] = struct{}{}
}

// remove forgets a request that has not run.
func (b *begunRequests) remove(request requestHash) {
	delete(b.current, request)
	delete(b.previous, request)
}

// contains reports whether a request is remembered.
func (b *begunRequests) contains(request requestHash) bool {
	_, current := b.current[request]
	_, previous := b.previous[request]
	return current || previous
}

// all returns the remembered requests.
func (b *begunRequests) all() requestHashes {
	hashes := make(requestHashes, 0, len(b.current)+len(b.previous))
	for hash := range b.previous {
		hashes = append(hashes, hash)
	}
	for hash := range b.current {
		hashes = append(hashes, hash)
	}
	return hashes
}

// requestHashes is a list of hashes. Its text form is that of bytes in JSON (base64), requestHashBytes for each hash.
type requestHashes []requestHash

// encode returns the hashes as bytes.
func (hashes requestHashes) encode() []byte {
	text := make([]byte, 0, len(hashes)*requestHashBytes)
	for _, hash := range hashes {
		text = binary.BigEndian.AppendUint64(text, uint64(hash))
	}
	return text
}

// decodeHashes returns the hashes in bytes of encode. It ignores an incomplete last hash.
func decodeHashes(text []byte) requestHashes {
	var hashes requestHashes
	for ; len(text) >= requestHashBytes; text = text[requestHashBytes:] {
		hashes = append(hashes, requestHash(binary.BigEndian.Uint64(text)))
	}
	return hashes
}

// begunQueue holds the requests that have begun since the other process of the node was last notified. It is safe for
// concurrent use.
type begunQueue struct {
	mu      sync.Mutex
	pending requestHashes
	ready   chan struct{} // buffered; signaled when pending is not empty
}

// newBegunQueue returns an empty queue.
func newBegunQueue() *begunQueue { return &begunQueue{ready: make(chan struct{}, 1)} }

// push adds a request. It does not block.
func (q *begunQueue) push(request requestHash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) < maxBegunRequests {
		q.pending = append(q.pending, request)
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the requests.
func (q *begunQueue) take() requestHashes {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}

// recordBegun remembers a request that is about to be sent to a backend and must not run twice, and notifies the other
// process of the node.
func (l *eventLoop) recordBegun(r *request) {
	if !l.guard.runsOnce(r.class) {
		return
	}
	hash := hashOf(r.id)
	l.begun.add(hash, l.now())
	if l.begunElsewhere != nil {
		l.begunElsewhere.push(hash)
	}
}

// forgetIfNeverRan forgets a request that is over, if no attempt of it can have run.
func (l *eventLoop) forgetIfNeverRan(r *request) {
	for _, a := range r.attempts {
		if !a.status.NeverRan() {
			return
		}
	}
	l.begun.remove(hashOf(r.id))
}

// hasBegunBefore reports whether a request with this id has been sent to a backend before, and must not run twice.
func (l *eventLoop) hasBegunBefore(r *request) bool {
	return l.guard.runsOnce(r.class) && l.begun.contains(hashOf(r.id))
}

// requestsBegun reports requests that have begun in the other process of the node.
type requestsBegun struct{ requests requestHashes }

func (m requestsBegun) handle(l *eventLoop) {
	for _, request := range m.requests {
		l.begun.add(request, l.now())
	}
}

// begunQueueSet sets or ends (nil) the queue for the other process of the node.
type begunQueueSet struct{ queue *begunQueue }

func (m begunQueueSet) handle(l *eventLoop) { l.begunElsewhere = m.queue }
