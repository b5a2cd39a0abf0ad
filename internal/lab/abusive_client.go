package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// This file runs abusive clients.

const (
	// abuseStream is the random stream of abusive clients.
	abuseStream = 0xab05e
	// abuseTracePrefix begins the trace ids of abusive clients' requests.
	abuseTracePrefix = "abuse-"
	// abuseClaimPrefix begins the trace ids of those requests that must not run twice.
	abuseClaimPrefix = abuseTracePrefix + "claim-"
	// abuseDeadline is how long an abusive client says that it waits for a response.
	abuseDeadline = time.Second
	// abuseReconnectDelay is how long an abusive client waits before it connects again, if it does not do so at once.
	abuseReconnectDelay = 20 * time.Millisecond
	// abuseHeadBytes is the length of a head with very many fields. It is below the length that nodes accept.
	abuseHeadBytes = 15 << 10
	// minPipelined and maxPipelined bound the bytes that are written behind an open request.
	minPipelined = 20 << 10
	maxPipelined = 250 << 10
	// longAnswer is the length of a long response in bytes.
	longAnswer = 1 << 20
	// bufferedAnswer is the length, in bytes, of a response that a node buffers, and unreadAnswers is how many of them
	// together exceed what the sockets between a node and a client hold.
	bufferedAnswer = 60 << 10
	unreadAnswers  = 120
	// unsizedAnswer is the length, in bytes, of a response without a length, of which the first bytes are timed (DAYS),
	// and unsizedRate the rate, in bytes per second, at which a backend writes it.
	unsizedAnswer = 66 << 10
	unsizedRate   = 12_000
	// slowReadPiece is how many bytes a slow reader reads in each slowBodyInterval, which makes slowBodyRate.
	slowReadPiece = int(slowBodyRate * slowBodyInterval / time.Second)
	// slowBodyBytes is the length of a slow client's body.
	slowBodyBytes = 300 << 10
	// endTimeout is how long an abusive client waits for the end of its connection before it gives up.
	endTimeout = 10 * time.Second
)

// abusiveClient is one abusive client. It repeats its kind's behavior until the end of the load.
type abusiveClient struct {
	ctx    context.Context
	log    *abuseLog
	target string // host:port of the node
	kind   abuseKind
	rng    *rand.Rand
	serial string // prefix of the trace ids of this client
	sent   int    // requests sent so far
	conn   net.Conn
	reader *bufio.Reader
}

// runAbuse runs the abusive clients of a node until ctx ends.
func (run *loadRun) runAbuse(ctx context.Context, node int, log *abuseLog) {
	abuse := run.scenario.Abuse
	for _, kind := range abuse.Kinds {
		for i := range abuse.Clients {
			seed := run.scenario.Seed<<20 + uint64(node)<<12 + uint64(i)
			client := &abusiveClient{ctx: ctx, log: log, target: run.clients[node].target, kind: kind,
				rng: rand.New(rand.NewPCG(seed, abuseStream)), serial: fmt.Sprintf("%s-%d-%d", kind, node, i)}
			log.clients.Go(client.run)
		}
	}
}

// run repeats the behavior of the client's kind, each time on a new connection.
func (c *abusiveClient) run() {
	for c.ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.target, clientDialTimeout)
		if err != nil {
			c.pause(abuseReconnectDelay)
			continue
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
		stop := context.AfterFunc(c.ctx, func() { conn.Close() })
		behaviors[c.kind](c)
		stop()
		conn.Close()
	}
}

// pause waits, or returns early when the load ends.
func (c *abusiveClient) pause(duration time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(duration):
	}
}

// trace returns a new trace id.
func (c *abusiveClient) trace(prefix string) string {
	c.sent++
	return fmt.Sprintf("%s%s-%d", prefix, c.serial, c.sent)
}

// head returns a request's head without its last line.
func (c *abusiveClient) head(method, query, trace, class string) string {
	return fmt.Sprintf("%s /api%s HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n",
		method, query, trace, class, abuseDeadline.Seconds())
}

// read returns a complete request without a body, which may run twice.
func (c *abusiveClient) read(query string) string {
	return c.head(http.MethodGet, query, c.trace(abuseTracePrefix), classRead) + "\r\n"
}

// claim returns the head of a request with a body of a length, which must not run twice.
func (c *abusiveClient) claim(query, trace string, length int) string {
	return c.head(http.MethodPost, query, trace, classClaim) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// shortFields returns the lines of very many short header fields.
func shortFields() string {
	var b strings.Builder
	for i := 0; b.Len() < abuseHeadBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// write writes a text. It reports whether all of it was written.
func (c *abusiveClient) write(text string) bool {
	c.conn.SetWriteDeadline(time.Now().Add(endTimeout))
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// respond reads one response and drops its body. It reports whether the response is complete, with its status.
func (c *abusiveClient) respond(until time.Time) (status int, complete bool) {
	c.conn.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// awaitError waits until the node answers with an error, or closes the connection, and records a violation if that
// takes longer than the node has, counted from start.
func (c *abusiveClient) awaitError(start time.Time) {
	status, complete := c.respond(start.Add(endTimeout))
	elapsed := time.Since(start)
	if c.ctx.Err() != nil {
		return
	}
	if complete && status < http.StatusBadRequest {
		c.log.violation("%s: served with status %d", c.serial, status)
	}
	if elapsed > stalledClientTimeout+schedulingSlack {
		c.log.violation("%s: error or close after %s", c.serial, elapsed.Round(time.Millisecond))
	}
}

func (c *abusiveClient) sendUnendedFields() {
	start := time.Now()
	c.write(c.head(http.MethodGet, "", c.trace(abuseTracePrefix), classRead) + shortFields())
	c.awaitError(start)
	c.pause(abuseReconnectDelay)
}

func (c *abusiveClient) sendEndedFields() {
	start := time.Now()
	c.write(c.head(http.MethodGet, "", c.trace(abuseTracePrefix), classRead) + shortFields() + "\r\n")
	if _, complete := c.respond(start.Add(endTimeout)); !complete && time.Since(start) > endTimeout {
		c.log.violation("%s: neither a response nor a close after %s", c.serial, endTimeout)
	}
	c.pause(abuseReconnectDelay)
}

func (c *abusiveClient) sendSlowHead() {
	start := time.Now()
	text := c.read("")
	for i := range text {
		if !c.write(text[i : i+1]) {
			break
		}
		c.pause(slowBodyInterval)
	}
	c.awaitError(start)
}

func (c *abusiveClient) sendHalfBody() {
	c.write(c.claim("", c.trace(abuseClaimPrefix), longAnswer) + strings.Repeat("x", longAnswer/2))
	c.awaitError(time.Now())
}

func (c *abusiveClient) sendSlowBody() {
	text := c.claim("", c.trace(abuseClaimPrefix), slowBodyBytes) + strings.Repeat("x", slowBodyBytes)
	writeSlowly(c.ctx, c.conn, text)
	c.awaitFinalResponse()
}

// awaitFinalResponse reads the final response of a lawful request, and records a violation if it does not come in time.
func (c *abusiveClient) awaitFinalResponse() {
	start := time.Now()
	_, complete := c.respond(start.Add(abuseDeadline + responseGrace + schedulingSlack))
	if !complete && c.ctx.Err() == nil {
		c.log.violation("%s-%d: no response %s after its last byte", c.serial, c.sent,
			time.Since(start).Round(time.Millisecond))
	}
}

func (c *abusiveClient) readSlowly() {
	c.write(c.read(fmt.Sprintf("?answer=%d", longAnswer)))
	piece := make([]byte, slowReadPiece)
	for c.ctx.Err() == nil {
		c.conn.SetReadDeadline(time.Now().Add(endTimeout))
		if _, err := c.conn.Read(piece); err != nil {
			return
		}
		c.pause(slowBodyInterval)
	}
}

func (c *abusiveClient) stopReading() {
	for range 8 {
		if !c.write(c.read(fmt.Sprintf("?answer=%d", longAnswer))) {
			return
		}
	}
	c.pause(endTimeout)
}

func (c *abusiveClient) leaveAnswersUnread() {
	for range unreadAnswers {
		if !c.write(c.read(fmt.Sprintf("?answer=%d", bufferedAnswer))) {
			return
		}
	}
	c.pause(endTimeout)
}

func (c *abusiveClient) flood() {
	for c.ctx.Err() == nil && c.write(c.read("")) {
		if _, complete := c.respond(time.Now().Add(endTimeout)); !complete {
			return
		}
	}
}

// floodBatchSize is how many requests a flood in batches writes at once.
const floodBatchSize = 64

func (c *abusiveClient) floodInBatches() { c.floodBatches(func() string { return c.read("") }) }

func (c *abusiveClient) floodProbes() {
	c.floodBatches(func() string { return "GET " + livePath + " HTTP/1.1\r\nHost: api.internal\r\n\r\n" })
}

// floodBatches writes batches of requests, each as soon as the batch before it has its responses.
func (c *abusiveClient) floodBatches(request func() string) {
	for c.ctx.Err() == nil {
		var batch strings.Builder
		for range floodBatchSize {
			batch.WriteString(request())
		}
		if !c.write(batch.String()) {
			return
		}
		for range floodBatchSize {
			if _, complete := c.respond(time.Now().Add(endTimeout)); !complete {
				return
			}
		}
	}
}

func (c *abusiveClient) floodUnsound() {
	name := c.trace(abuseTracePrefix) + strings.Repeat("x", 200)
	for c.ctx.Err() == nil && c.write(c.head(http.MethodGet, "/"+name, name, name)+"\r\n") {
		if _, complete := c.respond(time.Now().Add(endTimeout)); !complete {
			return
		}
	}
}

// pipelinedText returns a request and many requests that follow it.
func (c *abusiveClient) pipelinedText() string {
	length := minPipelined + c.rng.IntN(maxPipelined-minPipelined)
	var b strings.Builder
	for b.Len() < length {
		b.WriteString(c.read(""))
	}
	return b.String()
}

func (c *abusiveClient) pipeline() {
	go func(reader *bufio.Reader) { io.Copy(io.Discard, reader) }(c.reader)
	text := c.pipelinedText()
	for c.ctx.Err() == nil && c.write(text) {
	}
	c.pause(abuseReconnectDelay)
}

func (c *abusiveClient) pipelineUnread() {
	c.write(c.pipelinedText())
	c.pause(endTimeout)
}

func (c *abusiveClient) leavePipeline() {
	first := c.sent + 1
	c.write(c.pipelinedText())
	c.pause(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	c.conn.Close()
	left := time.Now().UnixNano()
	for number := first; number <= c.sent; number++ {
		c.log.left(fmt.Sprintf("%s%s-%d", abuseTracePrefix, c.serial, number), left)
	}
}

func (c *abusiveClient) leaveAndReturn() {
	trace := c.trace(abuseClaimPrefix)
	request := c.claim("?service=50ms", trace, 2) + "{}"
	c.write(request)
	c.pause(time.Duration(c.rng.IntN(80)) * time.Millisecond)
	c.conn.Close()
	c.pause(time.Duration(c.rng.IntN(100)) * time.Millisecond)
	conn, err := net.DialTimeout("tcp", c.target, clientDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.write(request)
	c.respond(time.Now().Add(abuseDeadline + responseGrace))
}

func (c *abusiveClient) awaitSlowAnswer() {
	c.write(c.read(fmt.Sprintf("?answer=%d&pace=%d", longAnswer/4, slowBodyRate)))
	status, complete := c.respond(time.Now().Add(endTimeout))
	if status == http.StatusOK && !complete && c.ctx.Err() == nil {
		c.log.violation("%s-%d: a response of %d bytes at %d bytes a second broke off", c.serial, c.sent, longAnswer/4,
			slowBodyRate)
	}
}

func (c *abusiveClient) awaitSlowUnsizedAnswer() {
	c.write(c.read(fmt.Sprintf("?answer=%d&pace=%d&unsized=1", unsizedAnswer, unsizedRate)))
	status, complete := c.respond(time.Now().Add(endTimeout))
	if (status != http.StatusOK || !complete) && c.ctx.Err() == nil {
		c.log.violation("%s-%d: a response of %d bytes at %d bytes a second was cut off, status %d", c.serial, c.sent,
			unsizedAnswer, unsizedRate, status)
	}
}

func (c *abusiveClient) sendToSlowBackend() {
	text := c.claim(fmt.Sprintf("?read=%d", slowBodyRate), c.trace(abuseClaimPrefix), longAnswer)
	if !c.write(text + strings.Repeat("x", longAnswer)) {
		c.awaitFinalResponse()
		return
	}
	for unacknowledged(c.conn) > 0 && c.ctx.Err() == nil {
		c.pause(receiptInterval)
	}
	c.awaitFinalResponse()
}
