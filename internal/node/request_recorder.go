package node

// requestRecorder records one request in the counters: that it is pending, and its outcome. Any goroutine may call
// begin; only one goroutine may call finish.
type requestRecorder struct {
	counters *counters
	class    int
	begin    func() // counts the request as pending; called when the request is complete
	end      func() // ends the count as pending
	finished bool
}

// newRequestRecorder returns the recorder of a request that is not counted yet.
func newRequestRecorder(counters *counters, class int) *requestRecorder {
	begin, end := counters.trackPending()
	return &requestRecorder{counters: counters, class: class, begin: begin, end: end}
}

// finish records the outcome of the request. Only the first call has an effect.
func (r *requestRecorder) finish(kind responseKind) {
	if r.finished {
		return
	}
	r.finished = true
	r.end()
	r.counters.recordOutcome(r.class, kind)
}
