package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// memberList is an answer of discovery.
type memberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in for discovery: the whole list, and a watch that holds as long as it is asked to.
type discovery struct {
	w        *world
	listener net.Listener

	mu      sync.Mutex
	list    memberList
	changed chan struct{}
}

// startDiscovery serves a list of ready backends that started long ago.
func startDiscovery(w *world, members []member) (*discovery, error) {
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, listener: l, changed: make(chan struct{}),
		list: memberList{Revision: 41, Complete: true, Members: members}}
	server := &http.Server{Handler: d}
	go server.Serve(l)
	w.atEnd(func() { server.Close() })
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// current returns the whole list and a channel that is closed at the next change.
func (d *discovery) current() (memberList, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.changed
}

// ServeHTTP answers GET /registry/instances, with a whole list where anything has changed.
func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	list, changed := d.current()
	if after := r.URL.Query().Get("after"); after != "" && after == strconv.FormatInt(list.Revision, 10) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		if next, _ := d.current(); next.Revision != list.Revision {
			list = next
		} else {
			list = memberList{Revision: list.Revision, Members: []member{}}
		}
	}
	json.NewEncoder(rw).Encode(list)
}
