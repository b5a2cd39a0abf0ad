package registry

import (
	"encoding/json"
	"errors"

	"hitchvale/internal/statemachine"
)

// Lease is a duty that one holder has at a time, as a lock with a sequencer in Chubby or a lease in etcd.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"` // the fencing token of the grant; it rises with every grant of any lease
	TTLms  int64  `json:"ttl_ms"`
}

// FencingToken is what a write on a duty's behalf carries: the lease, and the token that its holder was granted.
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

// LeaseCommand is a write of the leases. opAcquireLease uses the lease's name, holder and TTL, opReleaseLease its name,
// holder and token, opExpireLease its name and token.
type LeaseCommand struct {
	Op    statemachine.Operation `json:"op"`
	Lease Lease                  `json:"lease"`
}

// Operation returns the command's operation.
func (c *LeaseCommand) Operation() statemachine.Operation { return c.Op }

// leaseStore is the state machine of the leases.
type leaseStore struct {
	ByName    map[string]Lease `json:"leases"`
	LastToken uint64           `json:"tokens"` // of the last grant
	// AcceptedTokens is, by lease, the highest token of a fenced write that was accepted.
	AcceptedTokens map[string]uint64 `json:"fenced"`
}

func newLeaseStore() *leaseStore {
	return &leaseStore{ByName: map[string]Lease{}, AcceptedTokens: map[string]uint64{}}
}

// Kind is part of statemachine.Machine.
func (s *leaseStore) Kind() string { return "leases" }

// Commands is part of statemachine.Machine.
func (s *leaseStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &LeaseCommand{} }
	return statemachine.CommandConstructors(empty, opAcquireLease, opReleaseLease, opExpireLease)
}

// Apply executes a LeaseCommand and returns the lease. It fails with ErrMalformed, ErrLeaseHeld or ErrLeaseLost.
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

// acquire grants a lease that is free with the next token. Its present holder gets the lease that it has.
func (s *leaseStore) acquire(wanted Lease) (statemachine.Outcome, error) {
	present, held := s.ByName[wanted.Name]
	switch {
	case wanted.Name == "" || wanted.Holder == "":
		return statemachine.Outcome{}, ErrMalformed.Of("lease", errors.New("missing name or holder"))
	case wanted.TTLms <= 0:
		return statemachine.Outcome{}, ErrMalformed.Of("lease "+wanted.Name, errors.New("ttl_ms must be above 0"))
	case held && present.Holder != wanted.Holder:
		return statemachine.Outcome{}, ErrLeaseHeld.Of(wanted.Name, nil)
	case held:
		return statemachine.Outcome{Unchanged: true, Value: present}, nil
	}
	s.LastToken++
	granted := Lease{Name: wanted.Name, Holder: wanted.Holder, Token: s.LastToken, TTLms: wanted.TTLms}
	s.ByName[granted.Name] = granted
	return statemachine.Outcome{Value: granted}, nil
}

// Encode is part of statemachine.Machine.
func (s *leaseStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode is part of statemachine.Machine.
func (s *leaseStore) Decode(section []byte, _ int64) error {
	decoded := newLeaseStore()
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	if decoded.ByName == nil || decoded.AcceptedTokens == nil { // version 0 wrote null before the first lease
		decoded.ByName = map[string]Lease{}
		decoded.AcceptedTokens = map[string]uint64{}
	}
	*s = *decoded
	return nil
}

// disableFencing removes the fence check if it is not empty. It is a planted fault that the lab's lease scenarios must
// detect, set at build time (-ldflags -X hitchvale/internal/registry.disableFencing=1) by tests alone.
var disableFencing string

// checkToken accepts a fenced write and records its token, or fails with ErrStaleFencingToken if the token is lower
// than one already accepted for the lease. A write without a token is accepted.
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
