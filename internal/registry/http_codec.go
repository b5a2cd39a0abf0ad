package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hitchvale/internal/operror"
)

// maxBodyBytes bounds a call's body, as PROTOCOL-hitchvale.md bounds bodies.
const maxBodyBytes = 64 << 10

// decodeBody decodes a call's JSON body. It fails with ErrMalformed on unknown fields, and on a body over the limit
// that the caller has set.
func decodeBody(req *http.Request, v any) error {
	decoder := json.NewDecoder(req.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ErrMalformed.Of("body", fmt.Errorf("over %d bytes", maxBodyBytes))
	}
	return ErrMalformed.Of("body", err)
}

// parseWait reads a call's wait_ms, which has to be there, and bounds it by maxWatchWait.
func parseWait(req *http.Request) (time.Duration, error) {
	text := req.URL.Query().Get("wait_ms")
	waitMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil || waitMs < 0 {
		return 0, ErrMalformed.Of("wait_ms", fmt.Errorf("%q is not a number of milliseconds", text))
	}
	return min(time.Duration(waitMs)*time.Millisecond, maxWatchWait), nil
}

// writeJSON answers with 200 and a JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// errorResponse is the body of every answer that is an error.
type errorResponse struct {
	Code   string `json:"code"`
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}

// writeError answers with an error's status, code, text and remedy. An error without a code is one of the input.
func writeError(w http.ResponseWriter, err error) {
	described, ok := operror.Find(err)
	if !ok {
		described = ErrMalformed.Of("", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(described.Status)
	json.NewEncoder(w).Encode(errorResponse{Code: described.Code, Error: err.Error(), Remedy: described.Remedy})
}

// revisionResponse answers a write that returns no record.
type revisionResponse struct {
	Revision int64 `json:"revision"`
}

func newRevisionResponse(result Result) any { return revisionResponse{Revision: result.Revision} }

// resultValue returns the record of a result for a response; nil if there is none of the type.
func resultValue[T any](result Result) *T {
	value, ok := result.Value.(T)
	if !ok {
		return nil
	}
	return &value
}
