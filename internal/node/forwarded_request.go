package node

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// typicalHeadBytes is the size of the buffer that most heads fit in.
const typicalHeadBytes = 1 << 10

// forwardedRequest is a client's request as it is forwarded to backends, or a health check.
type forwardedRequest struct {
	method      string
	url         *url.URL
	host        string // the Host header; empty: the backend's address
	header      http.Header
	body        []byte // where upload is nil
	healthCheck bool

	// Of a request whose body is streamed:
	upload    *requestStream   // the body; nil: it is complete
	timeLeft  time.Duration    // how long its client waits from the last byte on
	onWritten func() time.Time // called when the last byte has been written; returns the deadline
}

// rewrittenHeaders are left out of the client's header: the node sets them itself.
var rewrittenHeaders = map[string]bool{"X-Expires-In": true, "Host": true}

// encodeHead returns the request line and the header for a backend. timeLeft is how long the client still waits,
// which the backend is notified of in seconds.
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
