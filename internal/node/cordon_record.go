package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"
)

// cordonRecord has the cordons of a node, by discovery's id of the backend, as the cordon file stores them. A record
// contains all changes of every record with a lower version.
type cordonRecord struct {
	Version  int64             `json:"version"`
	Backends map[string]cordon `json:"backends"`
}

// cordon is the state of a backend that an operator has cordoned at least once. Times are Unix times in nanoseconds,
// which have the same meaning in all processes of the node; cordonTimes has them on the event loop's clock.
type cordon struct {
	Cordoned     bool  `json:"out"`
	CordonedAt   int64 `json:"since"`          // when the backend was last cordoned
	UncordonedAt int64 `json:"back,omitempty"` // when the backend was last uncordoned; 0: never
}

// errMalformedRecord is the error of a record that was read but can't be decoded. Reading it again would fail too. Any
// other read error may be transient.
var errMalformedRecord = errors.New("malformed cordon record")

// isTransient reports whether reading the record failed and a later read may succeed.
func isTransient(err error) bool { return err != nil && !errors.Is(err, errMalformedRecord) }

// decodeCordonRecord decodes the content of a cordon file.
func decodeCordonRecord(text []byte) (cordonRecord, error) {
	var record cordonRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return cordonRecord{}, fmt.Errorf("%w: %w", errMalformedRecord, err)
	}
	return record, nil
}

// withCordon returns a record in which a backend is cordoned or not, and whether it differs from r. now is the wall
// clock.
func (r cordonRecord) withCordon(
	backendID string, cordoned bool, now time.Duration,
) (updated cordonRecord, changed bool) {
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
