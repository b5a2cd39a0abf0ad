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
	// defaultCallTimeout is the timeout of a call to one replica if Client.HTTP is not set.
	defaultCallTimeout = 2 * time.Second

	// maxResponseBytes is the maximum number of bytes of a response's body that are read.
	maxResponseBytes = 64 << 10
)

// Client acquires leases from the registry. It calls the replicas in order until one of them handles the call. It is
// safe for concurrent use.
type Client struct {
	Replicas []string     // HTTP addresses of the registry's replicas, as host:port
	HTTP     *http.Client // nil: a client whose timeout for a call is defaultCallTimeout
}

// acquireRequest is the body of a call that acquires a lease.
type acquireRequest struct {
	Holder string `json:"holder"`
	TTLms  int64  `json:"ttl_ms"`
}

// holderRequest is the body of a call that renews or releases a lease. It names the holder and the token of the grant.
type holderRequest struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// response is the body of a response of the registry.
type response struct {
	Lease struct {
		Token uint64 `json:"token"`
	} `json:"lease"`
	Error string `json:"error"`
}

// leasePath returns the path of the call for an action on a lease, such as "renew".
func leasePath(name, action string) string { return "/registry/leases/" + name + "/" + action }

// post sends body as JSON to the replicas in order, until one responds with a status other than 503. If none does, post
// fails with the error of the last replica.
func (c *Client) post(ctx context.Context, path string, body any) (status int, answer response, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, response{}, err
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = &http.Client{Timeout: defaultCallTimeout}
	}
	lastErr := errors.New("the client has no replica addresses")
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

// decodeResponse reads and closes a response's body. Invalid JSON counts as an empty response, since the response to a
// renewal has no body.
func decodeResponse(resp *http.Response) response {
	defer resp.Body.Close()
	var answer response
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	json.Unmarshal(text, &answer)
	return answer
}
