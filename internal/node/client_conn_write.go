package node

// Write sends p to the client. Each piece of at most streamBufferSize bytes has stallTimeout, counted from the moment
// at which its write begins. Neither the time that a client takes for its request nor the time that a backend takes for
// its response leaves less of it. net/http would count its WriteTimeout from the end of the head.
func (c *clientConn) Write(p []byte) (written int, err error) {
	client := stallLimitedWriter{c.Conn}
	for written < len(p) {
		piece := p[written:min(written+streamBufferSize, len(p))]
		n, err := client.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
