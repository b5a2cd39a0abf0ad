package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// All nodes share one discovery, which serves calls in turn: a call that is abandoned while it is queued has cost its
// place all the same, and the next one waits behind it. So the timeouts leave time for the queue; connecting needs no
// turn.
const (
	dialTimeout = time.Second
	// responseSlack is how long an answer may take beyond the wait that the call asks for.
	responseSlack = 2500 * time.Millisecond
	// defaultFullListTimeout is the time for a complete list.
	defaultFullListTimeout = 5 * time.Second

	idleConnTimeout        = 10 * time.Second
	maxConnections         = 4 // two calls, and abandoned dials
	maxResponseHeaderBytes = 16 << 10
	maxListBytes           = 4 << 20
)

// newHTTPClient returns the client for calls to discovery, which follows no redirects; a nil transport is TCP.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    1,
			MaxConnsPerHost:        maxConnections,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DisableCompression:     true,
		}
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// get makes one call. The error wraps ErrMalformed where an answer came that can't be decoded.
func (c *Client) get(ctx context.Context, url string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	c.callCount.Add(1)
	begun := time.Now()
	list, err := c.do(request)
	if c.onCall != nil {
		c.onCall(time.Since(begun), err)
	}
	return list, err
}

// do sends a request and decodes the answer.
func (c *Client) do(request *http.Request) (List, error) {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return List{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return List{}, err
	case response.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("status %d", response.StatusCode)
	case len(text) > maxListBytes:
		return List{}, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxListBytes)
	}
	list, err := ParseList(text, c.settings)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return list, nil
}
