package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"
)

// cordonRecord has the cordons of a node, by discovery's id of the backend, as its file stores them. A record contains
// all changes of those with a lower version.
type cordonRecord struct {
	Version  int64             `json:"version"`
	Backends map[string]cordon `json:"backends"`
}

// cordon is the state of a backend that an operator has taken out of service at least once. Times are Unix times in
// nanoseconds, which all processes of the node read alike; cordonTimes has them on the event loop's clock.
type cordon struct {
	Cordoned     bool  `json:"out"`
	CordonedAt   int64 `json:"since"`          // the last time that it was taken out
	UncordonedAt int64 `json:"back,omitempty"` // the last time that it was put back
}

// errMalformedRecord is the error of a record that was read and can't be decoded. No later read succeeds; any other
// error of reading may be transient.
var errMalformedRecord = errors.New("malformed cordon record")

// isTransient reports whether reading the record failed in a way in which a later read may not.
func isTransient(err error) bool { return err != nil && !errors.Is(err, errMalformedRecord) }

// decodeCordonRecord decodes the text of a file.
func decodeCordonRecord(text []byte) (cordonRecord, error) {
	var record cordonRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return cordonRecord{}, fmt.Errorf("%w: %w", errMalformedRecord, err)
	}
	return record, nil
}

// with returns a record in which a backend is cordoned or not; it is the same record if that holds already. now is the
// wall clock.
func (r cordonRecord) with(backendID string, cordoned bool, now time.Duration) (changed cordonRecord, isNew bool) {
	state := r.Backends[backendID]
	if state.Cordoned == cordoned {
		return r, false
	}
	if cordoned {
		state = cordon{Cordoned: true, CordonedAt: int64(now)}
	} else {
		state.Cordoned = false
		state.UncordonedAt = int64(now)
	}
	backends := maps.Clone(r.Backends)
	if backends == nil {
		backends = map[string]cordon{}
	}
	backends[backendID] = state
	return cordonRecord{Version: max(r.Version+1, int64(now)), Backends: backends}, true
}
