package registry

import (
	"encoding/json"
	"errors"

	"hitchvale/internal/statemachine"
)

// Lease is a lock with a TTL that one holder has at a time, like a lock with a sequencer in Chubby or a lease in etcd.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"` // the fencing token of the grant; every grant of any lease gets a higher token
	TTLms  int64  `json:"ttl_ms"`
}

// FencingToken identifies the grant of a lease under which a write is made: the lease and the token of the grant.
type FencingToken struct {
	Lease string `json:"lease"`
	Token uint64 `json:"token"`
}

// The operations on leases, as stored in the log.
const (
	opAcquireLease statemachine.Operation = "acquire"
	opReleaseLease statemachine.Operation = "release"
	opExpireLease  statemachine.Operation = "lease-expire"
)

// LeaseCommand is a write to the leases. opAcquireLease uses the lease's name, holder and TTL, opReleaseLease uses its
// name, holder and token, and opExpireLease uses its name and token.
type LeaseCommand struct {
	Op    statemachine.Operation `json:"op"`
	Lease Lease                  `json:"lease"`
}

// Operation returns the command's operation.
func (c *LeaseCommand) Operation() statemachine.Operation { return c.Op }

// leaseStore is the state machine of the leases. It is not safe for concurrent use.
type leaseStore struct {
	ByName    map[string]Lease `json:"leases"` // the leases that are held
	LastToken uint64           `json:"tokens"` // the token of the last grant
	// AcceptedTokens holds, by lease name, the highest fencing token of an accepted write.
	AcceptedTokens map[string]uint64 `json:"fenced"`
}

func newLeaseStore() *leaseStore {
	return &leaseStore{ByName: map[string]Lease{}, AcceptedTokens: map[string]uint64{}}
}

// Kind implements statemachine.Machine.
func (s *leaseStore) Kind() string { return "leases" }

// Commands implements statemachine.Machine.
func (s *leaseStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &LeaseCommand{} }
	return statemachine.CommandConstructors(empty, opAcquireLease, opReleaseLease, opExpireLease)
}

// Apply executes a LeaseCommand. The value of its outcome is the lease that was granted, released or expired. It fails
// with ErrMalformed, ErrLeaseHeld or ErrLeaseLost.
func (s *leaseStore) Apply(cmd statemachine.Command, _ int64) (statemachine.Outcome, error) {
	c := cmd.(*LeaseCommand)
	if c.Op == opAcquireLease {
		return s.acquire(c.Lease)
	}
	lease, held := s.ByName[c.Lease.Name]
	if !held || lease.Token != c.Lease.Token || (c.Op == opReleaseLease && lease.Holder != c.Lease.Holder) {
		return statemachine.Outcome{}, ErrLeaseLost.Of(c.Lease.Name, nil)
	}
	delete(s.ByName, lease.Name)
	return statemachine.Outcome{Value: lease}, nil
}

// acquire grants a free lease with the next token. If the requester already holds the lease, acquire returns it
// unchanged.
func (s *leaseStore) acquire(wanted Lease) (statemachine.Outcome, error) {
	current, held := s.ByName[wanted.Name]
	switch {
	case wanted.Name == "" || wanted.Holder == "":
		return statemachine.Outcome{}, ErrMalformed.Of("lease", errors.New("name or holder is missing"))
	case wanted.TTLms <= 0:
		return statemachine.Outcome{}, ErrMalformed.Of("lease "+wanted.Name, errors.New("ttl_ms must be above 0"))
	case held && current.Holder != wanted.Holder:
		return statemachine.Outcome{}, ErrLeaseHeld.Of(wanted.Name, nil)
	case held:
		return statemachine.Outcome{Unchanged: true, Value: current}, nil
	}
	s.LastToken++
	granted := Lease{Name: wanted.Name, Holder: wanted.Holder, Token: s.LastToken, TTLms: wanted.TTLms}
	s.ByName[granted.Name] = granted
	return statemachine.Outcome{Value: granted}, nil
}

// Encode implements statemachine.Machine.
func (s *leaseStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode implements statemachine.Machine.
func (s *leaseStore) Decode(section []byte, _ int64) error {
	decoded := newLeaseStore()
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	if decoded.ByName == nil || decoded.AcceptedTokens == nil { // a version 0 snapshot without leases has null here
		decoded.ByName = map[string]Lease{}
		decoded.AcceptedTokens = map[string]uint64{}
	}
	*s = *decoded
	return nil
}

// disableFencing, if not empty, turns off the check of fencing tokens. It is an injected fault that the lab's lease
// scenarios must detect. Only tests set it, at build time with -ldflags
// "-X hitchvale/internal/registry.disableFencing=1".
var disableFencing string

// checkToken records the fencing token of a write. It fails with ErrStaleFencingToken if a write with a higher token
// has already been accepted for the lease. A write without a token is accepted.
func (s *leaseStore) checkToken(token *FencingToken) error {
	if token == nil || disableFencing != "" {
		return nil
	}
	if token.Token < s.AcceptedTokens[token.Lease] {
		return ErrStaleFencingToken.Of(token.Lease, nil)
	}
	s.AcceptedTokens[token.Lease] = token.Token
	return nil
}
