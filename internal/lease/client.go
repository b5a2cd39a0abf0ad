package lease

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// defaultCallTimeout bounds a call to a replica if Client.HTTP is not set.
	defaultCallTimeout = 2 * time.Second

	// maxResponseBytes bounds the body of an answer.
	maxResponseBytes = 64 << 10
)

// Client calls the leases of the registry's replicas, each in turn. Safe for concurrent use.
type Client struct {
	Replicas []string     // HTTP addresses
	HTTP     *http.Client // nil: one with defaultCallTimeout
}

// acquireRequest is the body of a call that acquires a lease.
type acquireRequest struct {
	Holder string `json:"holder"`
	TTLms  int64  `json:"ttl_ms"`
}

// holderRequest is the body of a call that renews or releases a lease: who holds it, by which grant.
type holderRequest struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// response is the body of an answer.
type response struct {
	Lease struct {
		Token uint64 `json:"token"`
	} `json:"lease"`
	Error string `json:"error"`
}

func leasePath(name, action string) string { return "/registry/leases/" + name + "/" + action }

// post sends body to each replica in turn until one answers with another status than 503. It fails with the last
// replica's error.
func (c *Client) post(ctx context.Context, path string, body any) (status int, answer response, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, response{}, err
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = &http.Client{Timeout: defaultCallTimeout}
	}
	lastErr := errors.New("no replica named")
	for _, addr := range c.Replicas {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
		if err != nil {
			return 0, response{}, err
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		answer := decodeResponse(resp)
		if resp.StatusCode != http.StatusServiceUnavailable {
			return resp.StatusCode, answer, nil
		}
		lastErr = fmt.Errorf("%s: %s", addr, answer.Error)
	}
	return 0, response{}, lastErr
}

// decodeResponse reads and closes an answer's body. A renewal's answer has none, so that bad JSON counts as empty.
func decodeResponse(resp *http.Response) response {
	defer resp.Body.Close()
	var answer response
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	json.Unmarshal(text, &answer)
	return answer
}
