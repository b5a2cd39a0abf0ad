package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// This file runs clients that send a long body slowly.

const (
	// slowBodyRate is the rate, in bytes per second, at which a client sends a slow body: that of the slowest client that
	// a node has to serve (DAYS).
	slowBodyRate = 64_000
	// slowBodyInterval is the time between two pieces of a slow body.
	slowBodyInterval = 50 * time.Millisecond
	// minSlowBodyTime and maxSlowBodyTime bound how long a client sends a slow body.
	minSlowBodyTime = time.Second
	maxSlowBodyTime = 12 * time.Second
	// slowBodyTimeout is how long a client tries to send a slow body to a node that does not take it.
	slowBodyTimeout = 2 * maxSlowBodyTime
)

// longBody is the length and the form of a body. The zero value is a short body with a Content-Length.
type longBody struct {
	padding int // bytes that follow the short body
	chunked bool
	// sentAtOnce says that the client sends the body as fast as the node takes it. Its time counts from when the last byte
	// has reached the node's machine.
	sentAtOnce bool
}

// drawSlowBody draws a body that takes minSlowBodyTime to maxSlowBodyTime at slowBodyRate. Half of them are chunked.
func drawSlowBody(rng *rand.Rand) longBody {
	seconds := minSlowBodyTime.Seconds() + rng.Float64()*(maxSlowBodyTime-minSlowBodyTime).Seconds()
	return longBody{padding: int(seconds * slowBodyRate), chunked: rng.IntN(2) == 0}
}

// write appends the end of a request's head and its body, which begins with content.
func (body longBody) write(b *strings.Builder, content string) {
	content += strings.Repeat(" ", body.padding)
	if body.chunked {
		fmt.Fprintf(b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(content), content)
		return
	}
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(content), content)
}

// writeSlowly writes a text at slowBodyRate. It returns early if a write fails or ctx ends.
func writeSlowly(ctx context.Context, w io.Writer, text string) {
	const piece = int(slowBodyRate * slowBodyInterval / time.Second)
	ticker := time.NewTicker(slowBodyInterval)
	defer ticker.Stop()
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
