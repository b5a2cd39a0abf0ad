package node

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// message is what a client asked for, as it goes on to backends.
type forwardedRequest struct {
	method      string
	url         *url.URL
	host        string
	header      http.Header
	body        []byte
	healthCheck bool

	upload    *upload          // a body that is still coming; nil: it is whole
	timeLeft  time.Duration    // that its client will wait from its last byte on
	onWritten func() time.Time // tells that its last byte has gone, and returns the deadline
}

// encodeHead words the head of the message for a backend.
func (m *forwardedRequest) encodeHead(addr string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), cmp.Or(m.host, addr))
	m.header.WriteSubset(&b, map[string]bool{"X-Expires-In": true, "Host": true})
	fmt.Fprintf(&b, "X-Expires-In: %.3f\r\n", max(left, 0).Seconds())
	switch {
	case m.upload != nil && m.upload.size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.upload != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", m.upload.size)
	case len(m.body) > 0 || m.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
