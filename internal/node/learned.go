package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
)

// This file passes on what one process of a node has learned to the next.

// learned is what the module of the old process has learned, with discovery's id for each server in it.
type learned struct {
	Memory balance.Memory `json:"memory"` // times are by the old process's clock, starts as discovery tells them
	IDs    []string       `json:"ids"`
	Now    time.Duration  `json:"now"` // that clock as this was written; 0: not told
}

// listed words the list of backends in discovery's form.
func (l *loop) listed() []byte {
	var list struct {
		Revision int64             `json:"revision"`
		Complete bool              `json:"complete"`
		Members  []json.RawMessage `json:"members"`
	}
	list.Revision, list.Complete, list.Members = l.revision, true, []json.RawMessage{}
	for _, b := range l.byNumber {
		if b.phase != balance.Gone {
			list.Members = append(list.Members, b.line)
		}
	}
	text, _ := json.Marshal(list) // each line has been read from JSON
	return text
}

// remember returns what the module has learned.
func (l *loop) remember() learned {
	k := learned{Memory: l.bal.Remember(), Now: l.now()}
	for i := range k.Memory.Servers {
		b := l.byNumber[k.Memory.Servers[i].Backend]
		k.Memory.Servers[i].Launched = b.to.launched
		k.IDs = append(k.IDs, b.id)
	}
	return k
}

// recall returns what another process has learned, in this one's numbers. Backends that this one has not heard of are
// left out.
func (l *loop) recall(k learned) *balance.Memory {
	if len(k.IDs) != len(k.Memory.Servers) {
		return nil
	}
	var ahead time.Duration // of this clock before the other: the wall clock may have been stepped between the two starts
	if k.Now > 0 {
		ahead = l.now() - k.Now
	}
	k.Memory.RolledAt += ahead
	var own []balance.ServerMemory
	for i, s := range k.Memory.Servers {
		b := l.backends[k.IDs[i]]
		if b == nil || b.to.launched != s.Launched {
			continue // unheard of, or another process by now
		}
		s.Backend, s.Launched = b.number, b.start
		s.ToldAt += ahead
		s.Heard += ahead
		own = append(own, s)
	}
	k.Memory.Servers = own
	return &k.Memory
}
