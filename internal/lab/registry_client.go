package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errNoLeaderToKill says that a fault could not kill the registry's leader, because no replica leads.
var errNoLeaderToKill = errors.New("the registry has no leader to kill")

const (
	// eventTimeout bounds the wait for an event that must happen. It is long enough for a busy machine.
	eventTimeout = 30 * time.Second
	// electionTimeout bounds the wait for the registry to elect a leader.
	electionTimeout = 20 * time.Second
	// acknowledgeTimeout bounds the wait for a write to be acknowledged.
	acknowledgeTimeout = 10 * time.Second
	// registryCallTimeout bounds one call to a replica.
	registryCallTimeout = 2 * time.Second
	// registryRetryInterval is the time between two attempts of a registry call that is repeated until it succeeds.
	registryRetryInterval = 50 * time.Millisecond
)

// statusError is the error of a response with a status other than 2xx.
type statusError struct {
	status int
	text   string
}

// Error returns the call, the response's status and its body.
func (e *statusError) Error() string { return e.text }

// registryCall makes one call to a replica and decodes a 2xx response into out, unless out is nil. Any other status is
// a *statusError.
func (cluster *cluster) registryCall(ctx context.Context, method, addr, path string, body, out any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(ctx, registryCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 8<<20))
	if response.StatusCode/100 != 2 {
		return &statusError{status: response.StatusCode, text: fmt.Sprintf("%s %s at %s: %d %s", method, path, addr,
			response.StatusCode, bytes.TrimSpace(text))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// callAnyReplica calls the replicas in turn until one of them responds, for at most eventTimeout. Any response except
// 503 ends the calls.
func (cluster *cluster) callAnyReplica(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := cluster.registryAddr[attempt%len(cluster.registryAddr)]
		lastErr = cluster.registryCall(ctx, method, addr, path, body, out)
		var rejected *statusError
		if lastErr == nil || errors.As(lastErr, &rejected) && rejected.status != http.StatusServiceUnavailable {
			return lastErr
		}
		sleepUntil(ctx, time.Now().Add(registryRetryInterval))
	}
	return fmt.Errorf("no replica answered %s %s: %w", method, path, lastErr)
}

// acknowledgedWrite is a write that the registry acknowledged. At the end of the run, the registry's list of members
// must show it.
type acknowledgedWrite struct {
	ID       string
	Phase    string
	Revision int64
}

// registryWrite sends a write to the replicas in turn until one of them acknowledges it, for at most
// acknowledgeTimeout. It records the write for checkAcknowledgedWrites and returns its revision.
func (cluster *cluster) registryWrite(ctx context.Context, method, path string, body any,
	write acknowledgedWrite) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := cluster.registryAddr[attempt%len(cluster.registryAddr)]
		var answer struct {
			Revision int64 `json:"revision"`
		}
		if lastErr = cluster.registryCall(ctx, method, addr, path, body, &answer); lastErr == nil {
			write.Revision = answer.Revision
			cluster.mu.Lock()
			cluster.acknowledgedWrites = append(cluster.acknowledgedWrites, write)
			cluster.mu.Unlock()
			return answer.Revision, nil
		}
		time.Sleep(registryRetryInterval)
	}
	return 0, fmt.Errorf("%s %s: no replica acknowledged the write: %w", method, path, lastErr)
}

// registerBackends registers the backends in the registry. Each member's host_port is the address of the backend's
// proxy.
func (cluster *cluster) registerBackends(ctx context.Context, members []Member) error {
	for _, member := range members {
		body := map[string]any{"member": member}
		write := acknowledgedWrite{ID: member.ID, Phase: member.Phase}
		if _, err := cluster.registryWrite(ctx, http.MethodPost, "/registry/members", body, write); err != nil {
			return fmt.Errorf("registering %s: %w", member.ID, err)
		}
	}
	return nil
}

// leads reports whether a replica says that it is the leader.
func (cluster *cluster) leads(ctx context.Context, addr string) bool {
	var status struct {
		State string `json:"state"`
	}
	err := cluster.registryCall(ctx, http.MethodGet, addr, registryStatusPath, nil, &status)
	return err == nil && status.State == "Leader"
}

// waitLeader waits until a replica reports that it is the leader, for at most electionTimeout, and returns its number.
func (cluster *cluster) waitLeader(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for m, addr := range cluster.registryAddr {
			if cluster.leads(ctx, addr) {
				return m, nil
			}
		}
		time.Sleep(registryRetryInterval)
	}
	return -1, fmt.Errorf("the registry elected no leader within %s", electionTimeout)
}

// leaderIndex waits for a leader and returns its number, or -1 if there is none within electionTimeout.
func (cluster *cluster) leaderIndex(ctx context.Context) int {
	leader, err := cluster.waitLeader(ctx)
	if err != nil {
		return -1
	}
	return leader
}

// restartAfterElection kills a replica, waits for a leader among the others, and restarts the replica on its data.
func (cluster *cluster) restartAfterElection(ctx context.Context, m int) error {
	process := cluster.processes[roleRegistry][m]
	process.Kill()
	if _, err := cluster.waitLeader(ctx); err != nil {
		return err
	}
	if err := process.Start(cluster.spawner); err != nil {
		return err
	}
	return waitReady(ctx, process, cluster.registryAddr[m], registryStatusPath)
}

// registryList is a replica's list of members.
type registryList struct {
	Revision int64    `json:"revision"`
	Members  []Member `json:"members"`
}

// newestList reads the lists of all replicas and returns the list with the highest revision.
func (cluster *cluster) newestList(ctx context.Context) registryList {
	var newest registryList
	for _, addr := range cluster.registryAddr {
		var list registryList
		err := cluster.registryCall(ctx, http.MethodGet, addr, "/registry/instances", nil, &list)
		if err == nil && list.Revision >= newest.Revision {
			newest = list
		}
	}
	return newest
}

// checkAcknowledgedWrites checks that the newest list has every acknowledged write: each member is in the phase that
// was acknowledged last, and the list's revision is not below the write's revision.
func (cluster *cluster) checkAcknowledgedWrites(ctx context.Context) Check {
	check := Check{Name: "no acknowledged registry write is lost"}
	if len(cluster.registryAddr) == 0 {
		return check.result()
	}
	if _, err := cluster.waitLeader(ctx); err != nil {
		check.addViolation(err.Error())
		return check.result()
	}
	list := cluster.newestList(ctx)
	phases := map[string]string{}
	for _, member := range list.Members {
		phases[member.ID] = member.Phase
	}
	lastWrites := map[string]acknowledgedWrite{}
	for _, write := range cluster.acknowledgedWrites {
		lastWrites[write.ID] = write
	}
	for id, write := range lastWrites {
		if phases[id] != write.Phase || list.Revision < write.Revision {
			check.addViolation(fmt.Sprintf("%s: acknowledged %s at revision %d; the list at revision %d has %q", id, write.Phase,
				write.Revision, list.Revision, phases[id]))
		}
	}
	return check.result()
}
