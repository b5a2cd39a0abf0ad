package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// The events of a candidate's log.
const (
	leaseGranted       = "granted"
	leaseWriteAccepted = "accepted" // the registry accepted a fenced write, at LeaseEvent.Revision
	leaseWriteRejected = "refused"  // the registry rejected a write whose fencing token was too low
	leaseLost          = "lost"     // the candidate found out that it no longer holds the lease
	leaseReleased      = "released" // the candidate released the lease on SIGTERM
)

// LeaseEvent is one line of a candidate's log.
type LeaseEvent struct {
	Holder   string `json:"holder"`
	Event    string `json:"event"`
	Token    uint64 `json:"token"`
	Revision int64  `json:"revision,omitempty"`
	At       int64  `json:"at"` // Unix time in nanoseconds
}

// eventLog writes a candidate's log. Its methods may be called by several goroutines.
type eventLog struct {
	mu      sync.Mutex
	encoder *json.Encoder
	holder  string
}

func (log *eventLog) write(event string, token uint64, revision int64) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.encoder.Encode(LeaseEvent{Holder: log.holder, Event: event, Token: token, Revision: revision,
		At: time.Now().UnixNano()})
}

// readEvents reads a candidate's log. It skips an incomplete last line, which a candidate leaves if it is killed during
// a write. An invalid line before the last is an error that names the line.
func readEvents(path string) ([]LeaseEvent, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	var events []LeaseEvent
	for i, line := range lines {
		var event LeaseEvent
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			if i == len(lines)-1 {
				break
			}
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		events = append(events, event)
	}
	return events, nil
}
