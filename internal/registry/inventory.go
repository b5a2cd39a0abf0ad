package registry

import (
	"maps"
	"slices"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
)

// memberInventory gives the maintenance plan access to the member list of the same State. It implements
// maintenance.Inventory.
type memberInventory struct{ members *memberStore }

// Machines returns the members of the list, sorted by ID.
func (i memberInventory) Machines() []maintenance.Machine {
	machines := make([]maintenance.Machine, 0, len(i.members.Records))
	for _, member := range i.members.sorted() {
		machines = append(machines, maintenance.Machine{
			ID:       member.ID,
			Site:     member.Locality,
			Cell:     member.Cell,
			Capacity: member.Size,
			Ready:    member.Phase == PhaseReady,
		})
	}
	return machines
}

// SetDraining sets a member's phase to draining or ready with a change of revision nextRevision. It does nothing if the
// member is no longer in the list.
func (i memberInventory) SetDraining(id string, draining bool, nextRevision int64) {
	record, ok := i.members.Records[id]
	if !ok {
		return
	}
	record.Member.Phase = PhaseReady
	if draining {
		record.Member.Phase = PhaseDraining
	}
	i.members.store(record, nextRevision)
}

// liveSessions gives the maintenance plan access to the sessions of the same State. It implements maintenance.Sessions.
type liveSessions struct{ *fleet.SessionStore }

// LiveNodes returns the names of the nodes that have an open session, sorted.
func (s liveSessions) LiveNodes() []string { return slices.Sorted(maps.Keys(s.Open)) }
