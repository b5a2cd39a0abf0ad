package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// All nodes share one discovery service, which serves one call after the other. It also serves queued calls that were
// abandoned, so a repeated call waits until the abandoned call has been served. The timeouts of calls therefore include
// time in the queue. Connecting does not wait in the queue.
const (
	dialTimeout = time.Second
	// responseSlack is how long an answer may take in addition to the wait that the call asks for.
	responseSlack = 2500 * time.Millisecond
	// defaultFullListTimeout is the timeout of a call for the complete list.
	defaultFullListTimeout = 5 * time.Second

	idleConnTimeout        = 10 * time.Second
	maxConnections         = 4 // two calls at the same time, and dials that were abandoned
	maxResponseHeaderBytes = 16 << 10
	maxListBytes           = 4 << 20
)

// newHTTPClient returns the HTTP client for calls to discovery. It follows no redirects. A nil transport means TCP.
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

// get makes one call. The error wraps ErrMalformed if the answer can't be decoded as a list.
func (c *Client) get(ctx context.Context, url string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	c.callCount.Add(1)
	start := time.Now()
	list, err := c.do(request)
	if c.onCall != nil {
		c.onCall(time.Since(start), err)
	}
	return list, err
}

// do sends a request and decodes the list in the response.
func (c *Client) do(request *http.Request) (List, error) {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return List{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return List{}, err
	case response.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("discovery answered with status %d", response.StatusCode)
	case len(body) > maxListBytes:
		return List{}, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxListBytes)
	}
	list, err := ParseList(body, c.settings)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return list, nil
}
