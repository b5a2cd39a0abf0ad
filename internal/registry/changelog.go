package registry

import (
	"maps"
	"slices"
)

// memberChange is one change of the member list.
type memberChange struct {
	Revision int64
	Member   Member // the member after the change; in phase gone if it was removed
}

// changeLog keeps the last changes of the member list, so that a watch can get the changes since a revision. It holds
// every change after compactedRevision. It is not part of snapshots.
type changeLog struct {
	changes           []memberChange // a circular buffer with a fixed capacity
	oldest            int            // index of the oldest change if the buffer is full, otherwise 0
	compactedRevision int64          // revision of the last change that was dropped from the buffer
	lastRevision      int64          // revision of the last change of the list
}

// newChangeLog returns an empty log that holds size changes, or 1 if size is less.
func newChangeLog(size int) changeLog {
	return changeLog{changes: make([]memberChange, 0, max(size, 1))}
}

// append adds a change. If the log is full, the change replaces the oldest one.
func (l *changeLog) append(c memberChange) {
	l.lastRevision = c.Revision
	if len(l.changes) < cap(l.changes) {
		l.changes = append(l.changes, c)
		return
	}
	l.compactedRevision = l.changes[l.oldest].Revision
	l.changes[l.oldest] = c
	l.oldest = (l.oldest + 1) % len(l.changes)
}

// reset empties the log after the list has been restored at a revision. Earlier changes count as compacted.
func (l *changeLog) reset(revision int64) {
	l.changes = l.changes[:0]
	l.oldest = 0
	l.compactedRevision = revision
	l.lastRevision = revision
}

// since returns the members that changed after a revision, sorted by ID. Each member appears once, in its latest form.
// The revision must not be below compactedRevision.
func (l *changeLog) since(revision int64) []Member {
	latest := map[string]Member{}
	for i := range l.changes {
		change := l.changes[(l.oldest+i)%len(l.changes)]
		if change.Revision > revision {
			latest[change.Member.ID] = change.Member
		}
	}
	members := make([]Member, 0, len(latest))
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		members = append(members, latest[id])
	}
	return members
}
