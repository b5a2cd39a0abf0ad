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
	Complete bool // whether Members holds all endpoints; otherwise it holds the changed endpoints
	Members  []Member
}

// Member is one endpoint of a List.
type Member struct {
	ID      string          // discovery's name of the endpoint
	Address string          // host and port; may be empty for an endpoint that was removed
	Raw     json.RawMessage // the entry as received, for forwarding it unchanged
	balance.Endpoint
}

// ErrMalformed says that an answer of discovery can't be decoded as a list.
var ErrMalformed = errors.New("malformed list")

// listMessage is the wire format of a list.
type listMessage struct {
	Revision *int64            `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
}

// memberMessage is the wire format of an entry.
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

// phaseNames are the names of the phases in the wire format, in the order of balance.Phase.
var phaseNames = []string{"ready", "draining", "gone"}

// ParseList decodes a list from the wire format. One malformed entry makes the whole list malformed, because a list
// without that entry might miss the drain of an endpoint.
func ParseList(text []byte, settings siteconfig.Settings) (List, error) {
	var message listMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return List{}, err
	}
	if message.Revision == nil {
		return List{}, errors.New("revision is missing")
	}
	list := List{Revision: *message.Revision, Complete: message.Complete}
	for i, raw := range message.Members {
		var entry memberMessage
		if err := json.Unmarshal(raw, &entry); err != nil {
			return List{}, fmt.Errorf("member %d: %w", i, err)
		}
		if entry.ID == "" {
			return List{}, fmt.Errorf("member %d: id is missing", i)
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

// endpoint converts the entry to a balance.Endpoint. The endpoint's ID stays zero, because the node numbers endpoints.
func (m *memberMessage) endpoint(settings siteconfig.Settings) (balance.Endpoint, error) {
	phase := slices.Index(phaseNames, m.Phase)
	_, addressErr := netip.ParseAddrPort(m.HostPort)
	switch {
	case phase < 0:
		return balance.Endpoint{}, fmt.Errorf("phase %q is not one of ready, draining and gone", m.Phase)
	case addressErr != nil && balance.Phase(phase) != balance.Removed:
		return balance.Endpoint{}, fmt.Errorf("host_port %q is not an IP address and a port", m.HostPort)
	case m.UpSinceMillis < 0 || m.UpSinceMillis > math.MaxInt64/int64(time.Millisecond):
		return balance.Endpoint{}, fmt.Errorf("up_since_ms %d is negative or too large", m.UpSinceMillis)
	}
	weight := 1.0
	if m.Size != nil {
		weight = *m.Size
	}
	return balance.Endpoint{
		Zone:        slices.Index(settings.Zones, m.Locality), // -1 for an unknown zone, which differs from the node's zone
		Cell:        m.Cell,
		MachineKind: slices.Index(settings.MachineKinds, m.Flavor),
		Weight:      weight,
		StartedAt:   time.Duration(m.UpSinceMillis) * time.Millisecond,
		Phase:       balance.Phase(phase),
	}, nil
}

// FormatList encodes a complete list in the wire format. The members are Raw entries of a list that ParseList returned.
func FormatList(revision int64, members []json.RawMessage) []byte {
	if members == nil {
		members = []json.RawMessage{}
	}
	message := listMessage{Revision: &revision, Complete: true, Members: members}
	text, _ := json.Marshal(message) // cannot fail, because the entries were decoded from JSON
	return text
}
