package node

import (
	"time"

	"hitchvale/internal/monotime"
)

// maxCrowdedStall is how long a client may accept nothing of its response while other clients wait for its connection.
const maxCrowdedStall = 3 * time.Second

// Write sends p to the client. Each piece of at most streamBufferSize bytes has stallTimeout, counted from the moment
// at which its write begins. Neither the time that a client takes for its request nor the time that a backend takes for
// its response leaves less of it. net/http would count its WriteTimeout from the end of the head.
func (c *clientConn) Write(p []byte) (written int, err error) {
	client := stallLimitedWriter{c.Conn}
	defer c.writingSince.Store(0)
	for written < len(p) {
		piece := p[written:min(written+streamBufferSize, len(p))]
		c.writingSince.Store(monotime.Now())
		n, err := client.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// abortStalledWrite ends the write in progress if the client has accepted nothing for maxCrowdedStall, and reports
// whether it did. The response then breaks off, and its connection is closed.
func (c *clientConn) abortStalledWrite() bool {
	since := c.writingSince.Load()
	if since.IsZero() || time.Since(since.Time()) < maxCrowdedStall {
		return false
	}
	c.writingSince.Store(0)
	c.Conn.SetWriteDeadline(time.Now())
	return true
}
