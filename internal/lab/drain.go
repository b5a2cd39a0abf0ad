package lab

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// drain lists a backend as draining, in the registry or in the stand-in discovery. With a registry, the drain grace
// counts from the registry's acknowledgement.
func (run *loadRun) drain(ctx context.Context, id string) error {
	if run.scenario.Registries == 0 {
		run.discovery.SetPhase(id, phaseDraining)
		return nil
	}
	body := map[string]string{"phase": phaseDraining}
	revision, err := run.registryWrite(ctx, http.MethodPut, "/registry/members/"+id+"/phase", body,
		acknowledgedWrite{ID: id, Phase: phaseDraining})
	if err != nil {
		return err
	}
	acknowledged := time.Now()
	run.mu.Lock()
	run.drained[id] = acknowledged
	run.mu.Unlock()
	for i := range run.scenario.Nodes {
		run.timers.Go(func() { run.awaitRevision(ctx, i, revision, acknowledged) })
	}
	return nil
}

const (
	// propagationTimeout is how long the lab waits until a node has a change. For a node that never has the change, at
	// least this time is recorded.
	propagationTimeout = 20 * time.Second
	// revisionPollInterval is the time between two readings of a node's metrics during this wait.
	revisionPollInterval = 5 * time.Millisecond
)

// awaitRevision polls a node's /metrics until the node's list has the revision or a later one, and records the time
// since acknowledged.
func (run *loadRun) awaitRevision(ctx context.Context, i int, revision int64, acknowledged time.Time) {
	url := "http://" + run.adminAddr[i] + "/metrics"
	client := &http.Client{Timeout: time.Second}
	for time.Since(acknowledged) < propagationTimeout && ctx.Err() == nil {
		if current, err := scrapeRevision(client, url); err == nil && current >= revision {
			break
		}
		time.Sleep(revisionPollInterval)
	}
	run.mu.Lock()
	run.propagation = append(run.propagation, time.Since(acknowledged).Seconds()*1000)
	run.mu.Unlock()
}

// scrapeRevision reads glencart_list_revision from a node's metrics.
func scrapeRevision(client *http.Client, url string) (int64, error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "glencart_list_revision "); ok {
			revision, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return int64(revision), err
		}
	}
	return 0, errors.New("the metric glencart_list_revision is missing")
}
