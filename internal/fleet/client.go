package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"hitchvale/internal/operror"
)

// viewMost bounds the bytes of a view that a node reads.
const maxViewBytes = 8 << 20

// Held is what the registry says of a name: the highest incarnation there was, and its open session, if any.
type SessionStatus struct {
	LastIncarnation uint64   `json:"last"`
	LastProcess     string   `json:"process"` // that had it
	Session         *Session `json:"session"`
}

// Registry is what an agent asks of the registry; Client is the one over HTTP, tests have others.
type Registry interface {
	// Session tells of a name.
	SessionStatus(ctx context.Context, node string) (SessionStatus, error)
	// Open opens a session by compare-and-set and gives it as it is kept.
	OpenSession(ctx context.Context, s Session) (Session, error)
	// Close ends the session of a process.
	CloseSession(ctx context.Context, node string, incarnation uint64) error
	// Report hands in a report and waits for the first view after the one that it echoes; false where none came in
	// the time.
	SendReport(ctx context.Context, r ReportRequest, wait time.Duration) (View, bool, error)
}

// Client speaks to the registry's replicas, one at a time: after a call that got no answer, or a 503, it goes on to the
// next. Safe for concurrent use.
type Client struct {
	Replicas []string // HTTP addresses, at least one
	HTTP     *http.Client

	mu      sync.Mutex
	current int
}

// callWithin bounds a call beyond the time that it may wait.
const callTimeout = 2 * time.Second

// Session tells of a name.
func (c *Client) SessionStatus(ctx context.Context, node string) (SessionStatus, error) {
	var h SessionStatus
	_, err := c.call(ctx, http.MethodGet, "/registry/fleet/sessions/"+url.PathEscape(node), nil, &h, 0)
	return h, err
}

// Open opens a session.
func (c *Client) OpenSession(ctx context.Context, s Session) (Session, error) {
	var out struct {
		Session Session `json:"session"`
	}
	_, err := c.call(ctx, http.MethodPost, "/registry/fleet/sessions", s, &out, 0)
	return out.Session, err
}

// Close ends a session.
func (c *Client) CloseSession(ctx context.Context, node string, incarnation uint64) error {
	_, err := c.call(ctx, http.MethodDelete, "/registry/fleet/sessions/"+url.PathEscape(node)+"?incarnation="+
		strconv.FormatUint(incarnation, 10), nil, nil, 0)
	return err
}

// Report hands in a report.
func (c *Client) SendReport(ctx context.Context, r ReportRequest, wait time.Duration) (View, bool, error) {
	var v View
	status, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/registry/fleet/reports?wait_ms=%d", wait.Milliseconds()), r, &v, wait)
	return v, err == nil && status == http.StatusOK, err
}

// replica is the one that is asked now, next the one after it.
func (c *Client) currentReplica() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Replicas[c.current%len(c.Replicas)]
}

func (c *Client) useNextReplica() {
	c.mu.Lock()
	c.current++
	c.mu.Unlock()
}

// Call makes one call of another part of the registry, with body as JSON (nil: none), and decodes a 2xx answer into out.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	_, err := c.call(ctx, method, path, body, out, 0)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body, out any, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, ErrMalformed.Of(path, err)
		}
		rd = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.currentReplica()+path, rd)
	if err != nil {
		return 0, ErrMalformed.Of(path, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		c.useNextReplica()
		return 0, ErrRegistryUnreachable.Of(req.URL.Host, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxViewBytes))
	if err != nil {
		c.useNextReplica()
		return 0, ErrRegistryUnreachable.Of(req.URL.Host, err)
	}
	if resp.StatusCode/100 != 2 {
		if resp.StatusCode == http.StatusServiceUnavailable {
			c.useNextReplica()
		}
		return resp.StatusCode, decodeError(req.URL.Host, resp.StatusCode, text)
	}
	if out != nil && len(text) > 0 {
		if err := json.Unmarshal(text, out); err != nil {
			c.useNextReplica()
			return 0, ErrRegistryUnreachable.Of(req.URL.Host, err)
		}
	}
	return resp.StatusCode, nil
}

// refusal is the error that an answer tells of: this package's own by its code, else ErrUnreachable.
func decodeError(host string, status int, text []byte) error {
	var a struct{ Code, Error string }
	if json.Unmarshal(text, &a) != nil || a.Code == "" {
		return ErrRegistryUnreachable.Of(host, fmt.Errorf("status %d", status))
	}
	for _, e := range []*operror.Error{ErrMalformed, ErrSuperseded, ErrSessionNotFound, ErrStaleReport, ErrViewNotReady} {
		if e.Code == a.Code {
			return e.Of(host, errors.New(a.Error))
		}
	}
	return ErrRegistryUnreachable.Of(host, fmt.Errorf("%s: %s", a.Code, a.Error))
}
