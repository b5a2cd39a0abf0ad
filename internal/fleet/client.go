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

const (
	// maxResponseBytes is the maximum number of bytes of a response's body that are read.
	maxResponseBytes = 8 << 20

	// callTimeout is the timeout of a call, in addition to the time for which the registry may hold the call.
	callTimeout = 2 * time.Second
)

// Registry is the part of the registry that an Agent uses. Client implements it over HTTP.
type Registry interface {
	// SessionStatus returns the registry's record of a node's name.
	SessionStatus(ctx context.Context, node string) (SessionStatus, error)
	// OpenSession opens a session by compare-and-set and returns it as stored.
	OpenSession(ctx context.Context, s Session) (Session, error)
	// CloseSession closes a node's session if it has the given incarnation.
	CloseSession(ctx context.Context, node string, incarnation uint64) error
	// SendReport sends a report and waits for a view other than the view that the report echoes. It returns false if
	// there is no other view within the given time.
	SendReport(ctx context.Context, r ReportRequest, wait time.Duration) (View, bool, error)
}

// Client calls the registry over HTTP. It uses one replica at a time, and changes to the next replica if a call gets no
// usable response or gets status 503. It returns the errors of this package. It is safe for concurrent use.
type Client struct {
	Replicas []string // HTTP addresses, at least one
	HTTP     *http.Client

	mu      sync.Mutex
	current int // the index of the replica in use is current modulo the number of replicas
}

// SessionStatus implements Registry.
func (c *Client) SessionStatus(ctx context.Context, node string) (SessionStatus, error) {
	var status SessionStatus
	_, err := c.call(ctx, http.MethodGet, sessionPath(node), nil, &status, 0)
	return status, err
}

// OpenSession implements Registry.
func (c *Client) OpenSession(ctx context.Context, s Session) (Session, error) {
	var response struct {
		Session Session `json:"session"`
	}
	_, err := c.call(ctx, http.MethodPost, "/registry/fleet/sessions", s, &response, 0)
	return response.Session, err
}

// CloseSession implements Registry.
func (c *Client) CloseSession(ctx context.Context, node string, incarnation uint64) error {
	path := sessionPath(node) + "?incarnation=" + strconv.FormatUint(incarnation, 10)
	_, err := c.call(ctx, http.MethodDelete, path, nil, nil, 0)
	return err
}

func sessionPath(node string) string { return "/registry/fleet/sessions/" + url.PathEscape(node) }

// SendReport implements Registry.
func (c *Client) SendReport(ctx context.Context, r ReportRequest, wait time.Duration) (View, bool, error) {
	var view View
	path := fmt.Sprintf("/registry/fleet/reports?wait_ms=%d", wait.Milliseconds())
	status, err := c.call(ctx, http.MethodPost, path, r, &view, wait)
	return view, err == nil && status == http.StatusOK, err
}

// Call makes a call to another part of the registry. It sends body as JSON, or no body if body is nil, and decodes a
// 2xx response into out unless out is nil.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	_, err := c.call(ctx, method, path, body, out, 0)
	return err
}

// currentReplica returns the HTTP address of the replica in use.
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

// call makes one call, which the registry may hold for up to wait, and returns the status of the response.
func (c *Client) call(ctx context.Context, method, path string, body, out any, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	req, err := newRequest(ctx, method, c.currentReplica(), path, body)
	if err != nil {
		return 0, ErrMalformed.Of(path, err)
	}
	status, text, err := c.exchange(req)
	if err != nil {
		c.useNextReplica()
		return 0, ErrRegistryUnreachable.Of(req.URL.Host, err)
	}
	if status/100 != 2 {
		if status == http.StatusServiceUnavailable {
			c.useNextReplica()
		}
		return status, decodeError(req.URL.Host, status, text)
	}
	if out == nil || len(text) == 0 {
		return status, nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		c.useNextReplica()
		return 0, ErrRegistryUnreachable.Of(req.URL.Host, err)
	}
	return status, nil
}

// newRequest returns a request with a JSON body, or without a body if body is nil.
func newRequest(ctx context.Context, method, host, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(text)
	}
	return http.NewRequestWithContext(ctx, method, "http://"+host+path, reader)
}

// exchange sends a request and reads the response.
func (c *Client) exchange(req *http.Request) (status int, body []byte, err error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

// decodeError returns the error for a response whose status is not 2xx: the error of this package that has the code in
// the response, or ErrRegistryUnreachable if no error of this package has this code.
func decodeError(host string, status int, text []byte) error {
	var response struct {
		Code  string `json:"code"`
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &response) != nil || response.Code == "" {
		return ErrRegistryUnreachable.Of(host, fmt.Errorf("status %d without an error code", status))
	}
	for _, e := range []*operror.Error{
		ErrMalformed, ErrSuperseded, ErrSessionNotFound, ErrStaleReport, ErrViewNotReady,
	} {
		if e.Code == response.Code {
			return e.Of(host, errors.New(response.Error))
		}
	}
	return ErrRegistryUnreachable.Of(host, fmt.Errorf("%s: %s", response.Code, response.Error))
}
