package node

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// typicalHeadBytes is the initial size of the buffer for a head. Most heads fit in it.
const typicalHeadBytes = 1 << 10

// forwardedRequest is a client's request as the node forwards it to backends, or a health check.
type forwardedRequest struct {
	method      string
	url         *url.URL
	host        string // the Host header; empty: the backend's address
	header      http.Header
	body        []byte // the complete body, if upload is nil
	healthCheck bool
	expiresAt   time.Time // the request's deadline; zero if the body is streamed, or for a health check

	// clientHasLeft reports whether the client has closed its connection; nil if the connection is not known.
	clientHasLeft func() bool

	// The following fields are set if the body is streamed.
	upload    *requestStream   // the body; nil: the body is complete
	timeLeft  time.Duration    // how long the client waits for the response after the last byte of the request
	onWritten func() time.Time // called when the last byte has been written; returns the request's deadline
}

// abandoned reports whether the request's client has closed its connection. The event loop may not know it yet.
func (m *forwardedRequest) abandoned() bool { return m.clientHasLeft != nil && m.clientHasLeft() }

// deadline returns the request's deadline. It is zero for a health check, and until the last byte of a streamed body
// has arrived.
func (m *forwardedRequest) deadline() time.Time {
	if m.upload != nil {
		return m.upload.arrival.deadline()
	}
	return m.expiresAt
}

// rewrittenHeaders are the headers of a client that are not forwarded because the node sets its own values.
var rewrittenHeaders = map[string]bool{"X-Expires-In": true, "Host": true}

// encodeHead returns the request line and the header for a backend. timeLeft is how long the client still waits. It is
// sent to the backend in seconds, in X-Expires-In.
func (m *forwardedRequest) encodeHead(addr string, timeLeft time.Duration) []byte {
	var head bytes.Buffer
	head.Grow(typicalHeadBytes)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), cmp.Or(m.host, addr))
	m.header.WriteSubset(&head, rewrittenHeaders)
	fmt.Fprintf(&head, "X-Expires-In: %.3f\r\n", max(timeLeft, 0).Seconds())
	switch {
	case m.upload != nil && m.upload.size < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case m.upload != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", m.upload.size)
	case len(m.body) > 0 || m.method != http.MethodGet:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(m.body))
	}
	head.WriteString("\r\n")
	return head.Bytes()
}
