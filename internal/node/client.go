package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/lograte"
	"glencart/internal/monotime"
	"glencart/internal/settings"
)

const (
	// headWithin is how long a client may take to send a head, and messageWithin a whole request, counted from
	// connecting or from the first byte of a later one: who sends nothing proper has to hear so within 3 s.
	headWithin, messageWithin = 2600 * time.Millisecond, 2800 * time.Millisecond
	// headPatience is how many times as long a connection may keep the node waiting within a head as without one.
	headPatience = 4
	// idleWithin is how long a client may keep a connection without a request.
	idleWithin = 30 * time.Second
	// lingerMost is how much of a body is read that nobody wants: closing on unread bytes is a reset, which may
	// overtake the answer.
	lingerMost = 4 * bodyMost
	// answerWithin is how long a client may take to read its answer.
	answerWithin = 5 * time.Second
	// early is how much sooner than the client's deadline a request ends: its way here and the answer's way
	// back take part of the time, and neither can be seen from here.
	early = 8 * time.Millisecond
	// defaultDeadline stands for a class's deadline that is not told.
	defaultDeadline = time.Minute
	// fullRetry is when a client may come back that was refused because the node is full.
	fullRetry = 250 * time.Millisecond
)

// front is the client side: it reads requests, has the loop decide and writes the answers.
type front struct {
	loop     *loop
	names    settings.Settings
	log      *slog.Logger
	complain *lograte.Limited
	most     int64 // requests at once
	inFlight atomic.Int64
	figures  *figures
	crowded  int             // so many connections that idle ones give way
	leaving  atomic.Bool     // the node is about to end
	handed   atomic.Bool     // another process accepts its connections
	until    monotime.Atomic // by which all has to be answered; zero: no such time
	large    bool            // bodies of any length are streamed, and connections kept in a crowd
	kept     *budget         // of requests kept whole
	fleet    *fleetPart      // nil: none
	closes   *closeCounts

	mu    sync.Mutex
	conns map[net.Conn]time.Time // connections of clients; since when one is idle, zero while it is not
	heads map[net.Conn]bool      // those that have not brought a whole head yet
}

// newFront returns the client side for a node that may hold so many connections of clients.
func newFront(l *loop, names settings.Settings, conns int, log *slog.Logger) *front {
	// Each request in flight may need a connection to a backend, beside those of probes.
	return &front{loop: l, figures: l.figures, kept: newBudget(0), names: names, log: log,
		complain: &lograte.Limited{Log: log}, closes: &l.figures.closes, most: int64(conns) * 7 / 8, crowded: conns * 3 / 4,
		conns: map[net.Conn]time.Time{}, heads: map[net.Conn]bool{}}
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headWithin,
		IdleTimeout:       idleWithin,
		WriteTimeout:      messageWithin + longestDeadline(f.names) + answerWithin,
		MaxHeaderBytes:    headMost,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.track,
		ConnContext:       withFramed,
		// "OPTIONS *" is no request of a client either: the library would answer it with 200.
		DisableGeneralOptionsHandler: true,
	}
}

// track follows the connections of clients. When they become many, the one that has been idle longest is closed:
// else a crowd that keeps its connections would lock out who has something to ask.
func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.heads, c)
	switch s {
	case http.StateNew, http.StateActive:
		f.conns[c] = time.Time{}
		if s == http.StateNew {
			f.heads[c] = true
		}
	case http.StateIdle:
		f.conns[c] = time.Now()
		if b, ok := c.(*boundedConn); ok {
			b.framed.rests()
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
		if b, ok := c.(*boundedConn); ok && f.fleet != nil {
			f.fleet.closed(b.framed)
		}
	}
	if s == http.StateNew && len(f.conns) > f.crowded {
		f.giveWay()
	}
}

// held is how many connections of clients there are.
func (f *front) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// giveWay ends the connection that has kept the node waiting longest. It tells whether there was one.
func (f *front) giveWay() bool {
	for {
		oldest := f.longestIdle()
		if oldest == nil {
			return false
		}
		f.conns[oldest] = time.Time{}
		delete(f.heads, oldest)
		if endBetween(oldest, true) {
			f.closes.add(closedForRoom)
			return true
		}
	}
}

// endBetween closes a connection that waits for its client, if it still does.
func endBetween(c net.Conn, evenBegun bool) bool {
	b, ok := c.(*boundedConn)
	if !ok || !b.framed.endBetween(evenBegun) {
		return false
	}
	b.Close()
	return true
}

// allow sets how many connections there may be, of which those that are idle give way to new ones.
func (f *front) allow(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crowded = most * 3 / 4
}

// shed ends connections that keep the node waiting until there are no more than so many, if it can.
func (f *front) shed(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(f.conns); n > most && f.giveWay(); n-- {
	}
}

// endIdle ends connections that have brought their requests and have been idle for so long.
func (f *front) endIdle(least time.Duration, reason closeReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, at := range f.conns {
		if !at.IsZero() && time.Since(at) >= least && endBetween(c, false) {
			f.conns[c] = time.Time{}
			f.closes.add(reason)
		}
	}
}

// busy counts the connections on which a request is under way or has begun to come in.
func (f *front) busy() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if b, ok := c.(*boundedConn); ok && b.framed.busy() {
			n++
		}
	}
	return n
}

// drain ends connections as they come to rest, until none is left that has more to come, or ctx ends. It ends none with
// part of a request on it. Connections on which nothing has ever come do not hold it up for longer than stillFor.
func (f *front) drain(ctx context.Context) {
	for still := time.Duration(0); f.held() > 0 && ctx.Err() == nil; still += lookEvery {
		f.endIdle(0, closedInDrain)
		if f.handed.Load() || f.busy() > 0 {
			still = 0 // where another process serves nobody new comes here, and who has connected may yet ask
		}
		if still >= stillFor {
			return
		}
		pause(ctx, lookEvery)
	}
}

// finish ends what is left: who is not being served never will be, and who is has the answer first, unless ctx ends.
func (f *front) finish(ctx context.Context) {
	for {
		f.mu.Lock()
		for c := range f.conns {
			if endBetween(c, true) {
				f.closes.add(closedAtEnd)
			}
		}
		f.mu.Unlock()
		if f.busy() == 0 || ctx.Err() != nil {
			return
		}
		pause(ctx, lookEvery)
	}
}

// longestIdle returns the connection that has kept the node waiting longest, if any. One that has begun a request may
// take headPatience times as long: a slow client is still one that asks.
func (f *front) longestIdle() net.Conn {
	var oldest net.Conn
	var longest time.Duration
	now := time.Now()
	wait := func(c net.Conn, d time.Duration) {
		if oldest == nil || d > longest {
			oldest, longest = c, d
		}
	}
	for c, at := range f.conns {
		if !at.IsZero() {
			wait(c, now.Sub(at))
		}
	}
	for c := range f.heads {
		if b, ok := c.(*boundedConn); ok {
			at, begun := b.framed.heard()
			d := now.Sub(at)
			if begun {
				d /= headPatience
			}
			wait(c, d)
		}
	}
	return oldest
}

// isCrowded tells whether there are so many connections that answers should close theirs. Where unfinished heads give
// way too there is always room, and clients should keep the connections that they use.
func (f *front) isCrowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.large && len(f.conns) > f.crowded
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if f.leaving.Load() || f.handed.Load() || f.isCrowded() {
		// Closing after an answer crosses no request, as closing an idle connection may.
		w.Header().Set("Connection", "close")
	}
	h := framing(hr, received)
	if h.ended {
		panic(http.ErrAbortHandler) // nobody can be answered
	}
	// Set before anything else: what the library does with an unread body would wait for it without end.
	http.NewResponseController(w).SetReadDeadline(h.since.Add(messageWithin))
	if h.trouble != "" {
		f.complain.Warn("request refused for its framing", "trouble", h.trouble, "from", hr.RemoteAddr)
		reject(w, hr, http.StatusBadRequest, h.trouble) // nobody can tell where the next request would begin
		return
	}
	if h.last {
		w.Header().Set("Connection", "close")
	}
	switch hr.URL.Path {
	case "/health/ready":
		f.health(w, f.loop.ready.Load() && (f.handed.Load() || !f.leaving.Load()))
		return
	case "/health/live":
		f.health(w, true)
		return
	}
	if f.inFlight.Add(1) > f.most {
		f.inFlight.Add(-1)
		w.Header().Set("Connection", "close")
		refuse(w, fullRetry)
		if class := slices.Index(f.names.Classes, hr.Header.Get("X-Qos")); class >= 0 {
			f.figures.count(class, refused)
		}
		return
	}
	defer f.inFlight.Add(-1)
	r, status, err := f.read(w, hr, h.since)
	if err != nil {
		reject(w, hr, status, err.Error())
		return
	}
	defer f.kept.give(r.taken)
	if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok {
		if r.message.open == nil && c.gone() {
			panic(http.ErrAbortHandler) // while it waited to be read: nobody wants what would be done for it
		}
		if f.fleet != nil {
			f.fleet.asked(c, r)
		}
	}
	if r.message.open != nil {
		// The answer may come before the body's end, and nothing can follow it then.
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	f.dropPlanted()
	f.serve(w, hr, r)
}

// framing returns what the head of a request says of its end.
func framing(hr *http.Request, received time.Time) head {
	if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok {
		return c.take()
	}
	return head{since: received}
}

// reject answers what can't be served, and ends the connection: the rest of the body is of no use. With its length the
// answer is whole at once, and not only when the rest has come: http.Error leaves the length out.
func reject(w http.ResponseWriter, hr *http.Request, status int, text string) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
	http.NewResponseController(w).Flush()
	io.CopyN(io.Discard, hr.Body, lingerMost)
}

func (f *front) health(w http.ResponseWriter, ok bool) {
	status, text := http.StatusOK, "ok\n"
	if !ok {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// serve has the loop decide on a request and passes on the one final answer.
func (f *front) serve(w http.ResponseWriter, hr *http.Request, r *request) {
	end, u := failed, r.message.open
	begin, over := f.figures.pend()
	if u == nil {
		begin()
	} else {
		u.whole = begin   // a request is taken with its last byte
		defer u.discard() // which may take its time: the request has been counted by then
	}
	var counted bool
	count := func(kind answerKind) {
		if !counted {
			counted = true
			over()
			f.figures.count(r.class, kind)
		}
	}
	defer func() { count(end) }()
	f.loop.post(func() { f.loop.arrive(r) })
	select {
	case a := <-r.reply:
		if end = a.kind; a.stream != nil {
			end = failed // until all of it has been passed on
		}
		if f.leaving.Load() || f.handed.Load() {
			w.Header().Set("Connection", "close")
		}
		if u != nil {
			http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWithin))
		}
		// Who has read the whole answer finds it counted: so it is counted before its last byte goes.
		err := write(w, a, func() { count(a.kind) })
		if u != nil {
			http.NewResponseController(w).Flush() // the rest of the body may take long to come
		}
		if err != nil {
			f.complain.Warn("answer not passed on", "error", err)
			abort(w, hr.ProtoAtLeast(1, 1) || a.stream.size >= 0)
		}
		end = a.kind
	case <-hr.Context().Done():
		if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok && c.endedHere() {
			f.loop.guard.violated(ruleAnswer, r.id, "trouble", "connection ended under it")
		}
		f.loop.post(func() { f.loop.gone(r) })
		// Returning would have the library word an empty 200.
		panic(http.ErrAbortHandler)
	case <-f.loop.done: // the node is ending
		fail(w, http.StatusBadGateway)
	}
}

// write words an answer, and calls whole before the last byte of it may go. Its error tells that a client was not given
// all of one that was streamed.
func write(w http.ResponseWriter, a answer, whole func()) error {
	if a.stream == nil {
		whole()
	}
	switch a.kind {
	case served:
		if a.contentType != "" {
			w.Header().Set("Content-Type", a.contentType)
		} else {
			w.Header()["Content-Type"] = nil // none was given: guess none
		}
		if a.stream != nil {
			if a.stream.size >= 0 {
				w.Header().Set("Content-Length", strconv.FormatInt(a.stream.size, 10))
			}
			w.WriteHeader(http.StatusOK)
			return a.stream.copyTo(w, whole)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(http.StatusOK)
		w.Write(a.body)
	case refused:
		refuse(w, a.retryIn)
	case failed:
		status := http.StatusBadGateway
		if a.late {
			status = http.StatusGatewayTimeout
		}
		fail(w, status)
	case doubled:
		http.Error(w, "another request with this id is open", http.StatusConflict)
	}
	return nil
}

// abort ends a client's connection within an answer, so that it can tell. An answer that ends with its connection looks
// whole after an orderly end, so it is a reset; any other one is better ended in order, as a reset may overtake what has
// come of it.
func abort(w http.ResponseWriter, framed bool) {
	if h, ok := w.(http.Hijacker); ok && !framed {
		if c, _, err := h.Hijack(); err == nil {
			if b, ok := c.(*boundedConn); ok {
				b.reset()
			}
			c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// refuse tells the client that trying again is harmless, and when it may do so.
func refuse(w http.ResponseWriter, retryIn time.Duration) {
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail promises nothing.
func fail(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// hopByHop are the headers that belong to one connection, beside those that Connection names.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// read checks a request and reads its body. An error comes with the status to answer.
func (f *front) read(w http.ResponseWriter, hr *http.Request, since time.Time) (*request, int, error) {
	bad := func(format string, args ...any) (*request, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	h := hr.Header
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return bad("%s: given more than once", name)
		}
	}
	r := &request{id: h.Get("X-Trace-Id"), reply: make(chan answer, 1), repeat: h.Get("X-Second-Try") == "1"}
	if r.id == "" {
		return bad("X-Trace-Id: missing")
	}
	if r.class = slices.Index(f.names.Classes, h.Get("X-Qos")); r.class < 0 {
		return bad("X-Qos: no such class")
	}
	if len(f.names.Tenants) > 0 {
		if r.tenant = slices.Index(f.names.Tenants, h.Get("X-Customer")); r.tenant < 0 {
			return bad("X-Customer: no such customer")
		}
	}
	key := h.Get("Idempotency-Key")
	class := &f.names.Config.Classes[r.class]
	method, keyed := http.MethodPost, false
	switch class.Effect {
	case balance.Safe:
		method = http.MethodGet
	case balance.Keyed:
		keyed = true
	}
	switch {
	case hr.Method != method:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("requests of this class use %s", method)
	case keyed && key == "":
		return bad("Idempotency-Key: missing")
	}
	left := cmp.Or(class.Deadline, defaultDeadline)
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
			return bad("X-Expires-In: not a time in seconds")
		}
		left = min(left, time.Duration(min(s, 1e6)*float64(time.Second)))
	}
	if us, err := strconv.ParseFloat(h.Get("X-Size-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.hint = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.key, r.hasKey = sum.Sum64()>>11, true
	}
	body, open, taken, err := f.body(w, hr, since)
	r.taken = taken
	switch {
	case errors.Is(err, errTooLong):
		return nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errNoMemory):
		return nil, http.StatusServiceUnavailable, err // nothing has been sent on: it may come again
	case err != nil:
		return nil, http.StatusRequestTimeout, errors.New("body cut short")
	case open == nil:
		// The time of a request counts from its last byte, which may have come before the node got to read it.
		left = max(left-waited(hr), early)
		r.deadline = time.Now().Add(left - early)
		if until := f.until.Load(); !until.IsZero() && monotime.At(r.deadline) > until {
			r.deadline = until.Time()
		}
	}
	endToEnd(h)
	// Whatever Connection named, a backend needs these to tell a request from its repeat.
	h.Set("X-Trace-Id", r.id)
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	r.message = message{method: method, url: hr.URL, host: hr.Host, header: h, body: body, open: open, left: left - early}
	return r, 0, nil
}

// waited is how long a request that has been read whole had been at this machine by then.
func waited(hr *http.Request) time.Duration {
	if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok {
		if sc, ok := c.Conn.(syscall.Conn); ok {
			return age(sc)
		}
	}
	return 0
}

// endToEnd drops the headers that belong to one connection.
func endToEnd(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// body reads a request's body if it can be kept whole, and tells what of the budget it has taken: a body that is whole can go
// to another backend, and counts from its last byte. Else it returns what is to be streamed, where that is served: nothing of
// what a peer sends without end may reach a backend otherwise.
func (f *front) body(w http.ResponseWriter, hr *http.Request, since time.Time) (body []byte, open *upload, taken int64, err error) {
	size, most := hr.ContentLength, f.kept.one
	if f.large {
		most = requestMost
	}
	if size > most {
		return nil, nil, 0, errTooLong
	}
	paced := newPacedBody(w, hr, since, most)
	var ended bool
	switch {
	case size < 0:
		body, taken, ended, err = f.gather(paced)
	case size == 0 || f.kept.room(0, size, !f.large):
		body, taken, ended = make([]byte, size), size, true
		_, err = io.ReadFull(paced, body)
	}
	if err != nil {
		f.kept.give(taken)
		return nil, nil, 0, err
	}
	switch {
	case !ended && !f.large:
		f.kept.give(taken)
		return nil, nil, 0, errNoMemory
	case !ended:
		return nil, &upload{src: paced, size: size, head: body}, taken, nil
	}
	paced.until(time.Time{})
	return body, nil, taken, nil
}

// gather reads a body whose length is not told, as far as it can be kept.
func (f *front) gather(src io.Reader) (body []byte, taken int64, ended bool, err error) {
	for f.kept.room(taken, pieceSize, !f.large) {
		taken += pieceSize
		body = slices.Grow(body, pieceSize)
		for room := len(body) + pieceSize; len(body) < room; {
			n, err := src.Read(body[len(body):room])
			body = body[:len(body)+n]
			switch {
			case err == io.EOF:
				return body, taken, true, nil
			case err != nil:
				return nil, taken, false, err
			}
		}
	}
	var next [1]byte // one that ends just there is whole; one that goes on beyond all bounds says so itself
	n, err := src.Read(next[:])
	switch {
	case n == 0 && err == io.EOF:
		return body, taken, true, nil
	case err != nil && err != io.EOF:
		return nil, taken, false, err
	}
	return append(body, next[:n]...), taken, false, nil
}
