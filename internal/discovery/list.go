package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// List is an endpoint list, or a set of changes to one.
type List struct {
	Revision int64
	Complete bool // the list names every endpoint there is; otherwise Members are those that changed
	Members  []Member
}

// Member is one endpoint of a List.
type Member struct {
	ID      string          // discovery's name of the endpoint
	Address string          // host and port; may be empty for an endpoint that was removed
	Raw     json.RawMessage // the entry in the wire's form, to pass on unchanged
	balance.Endpoint
}

// ErrMalformed is the error of an answer that can't be decoded as a list.
var ErrMalformed = errors.New("malformed list")

// listMessage is a list in the wire's form.
type listMessage struct {
	Revision *int64            `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
}

// memberMessage is an entry of a list in the wire's form.
type memberMessage struct {
	ID            string   `json:"id"`
	HostPort      string   `json:"host_port"`
	Locality      string   `json:"locality"`
	Flavor        string   `json:"flavor"`
	Cell          int      `json:"cell"`
	Phase         string   `json:"phase"`
	Size          *float64 `json:"size"`
	UpSinceMillis int64    `json:"up_since_ms"`
}

// phaseNames are the wire's names of the phases, in the order of balance.Phase.
var phaseNames = []string{"ready", "draining", "gone"}

// ParseList decodes a list from the wire's form. One malformed entry makes the complete list malformed: the rest of it
// could lack a drain.
func ParseList(text []byte, settings siteconfig.Settings) (List, error) {
	var message listMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return List{}, err
	}
	if message.Revision == nil {
		return List{}, errors.New("revision: missing")
	}
	list := List{Revision: *message.Revision, Complete: message.Complete}
	for i, raw := range message.Members {
		var entry memberMessage
		if err := json.Unmarshal(raw, &entry); err != nil {
			return List{}, fmt.Errorf("member %d: %w", i, err)
		}
		if entry.ID == "" {
			return List{}, fmt.Errorf("member %d: no id", i)
		}
		endpoint, err := entry.endpoint(settings)
		if err != nil {
			return List{}, fmt.Errorf("member %s: %w", entry.ID, err)
		}
		list.Members = append(list.Members, Member{
			ID:       entry.ID,
			Address:  entry.HostPort,
			Raw:      raw,
			Endpoint: endpoint,
		})
	}
	return list, nil
}

// endpoint returns the entry in the Balancer's terms; its ID is left zero, as the node numbers endpoints.
func (m *memberMessage) endpoint(settings siteconfig.Settings) (balance.Endpoint, error) {
	phase := slices.Index(phaseNames, m.Phase)
	_, addressErr := netip.ParseAddrPort(m.HostPort)
	switch {
	case phase < 0:
		return balance.Endpoint{}, fmt.Errorf("phase %q", m.Phase)
	case addressErr != nil && balance.Phase(phase) != balance.Removed:
		return balance.Endpoint{}, fmt.Errorf("host_port %q", m.HostPort)
	case m.UpSinceMillis < 0 || m.UpSinceMillis > math.MaxInt64/int64(time.Millisecond):
		return balance.Endpoint{}, fmt.Errorf("up_since_ms %d", m.UpSinceMillis)
	}
	weight := 1.0
	if m.Size != nil {
		weight = *m.Size
	}
	return balance.Endpoint{
		Zone:        slices.Index(settings.Zones, m.Locality), // -1, a zone other than ours, where it is unknown
		Cell:        m.Cell,
		MachineKind: slices.Index(settings.MachineKinds, m.Flavor),
		Weight:      weight,
		StartedAt:   time.Duration(m.UpSinceMillis) * time.Millisecond,
		Phase:       balance.Phase(phase),
	}, nil
}

// FormatList encodes a complete list in the wire's form. The members are entries as ParseList has read them.
func FormatList(revision int64, members []json.RawMessage) []byte {
	if members == nil {
		members = []json.RawMessage{}
	}
	message := listMessage{Revision: &revision, Complete: true, Members: members}
	text, _ := json.Marshal(message) // no error: the entries were decoded from JSON
	return text
}
