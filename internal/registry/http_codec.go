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

// maxBodyBytes is the maximum size of a call's body. It equals the limit in PROTOCOL-hitchvale.md.
const maxBodyBytes = 64 << 10

// decodeBody decodes a call's JSON body into v. It fails with ErrMalformed on invalid JSON, on unknown fields, and on a
// body over the limit. The caller must have set the limit on req.Body with http.MaxBytesReader.
func decodeBody(req *http.Request, v any) error {
	decoder := json.NewDecoder(req.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ErrMalformed.Of("body", fmt.Errorf("the body is larger than %d bytes", maxBodyBytes))
	}
	return ErrMalformed.Of("body", err)
}

// parseWait returns the call's wait_ms parameter, limited to maxWatchWait. It fails with ErrMalformed if the parameter
// is missing or invalid.
func parseWait(req *http.Request) (time.Duration, error) {
	text := req.URL.Query().Get("wait_ms")
	waitMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil || waitMs < 0 {
		return 0, ErrMalformed.Of("wait_ms", fmt.Errorf("%q is not a number of milliseconds of at least 0", text))
	}
	return min(time.Duration(waitMs)*time.Millisecond, maxWatchWait), nil
}

// writeJSON writes a response with status 200 and v as its JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// errorResponse is the body of every error response.
type errorResponse struct {
	Code   string `json:"code"`
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}

// writeError writes a response with the status, code, text and remedy of an error. An error without a code counts as
// malformed input.
func writeError(w http.ResponseWriter, err error) {
	described, ok := operror.Find(err)
	if !ok {
		described = ErrMalformed.Of("", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(described.Status)
	json.NewEncoder(w).Encode(errorResponse{Code: described.Code, Error: err.Error(), Remedy: described.Remedy})
}

// revisionResponse is the response to a write that returns no record.
type revisionResponse struct {
	Revision int64 `json:"revision"`
}

func newRevisionResponse(result Result) any { return revisionResponse{Revision: result.Revision} }

// resultValue returns the record of a result, or nil if the result has no record of type T.
func resultValue[T any](result Result) *T {
	value, ok := result.Value.(T)
	if !ok {
		return nil
	}
	return &value
}
