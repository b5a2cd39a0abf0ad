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

// drain lists a backend as draining, in the registry where there is one; the grace counts from its acknowledgement.
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
	// propagationTimeout is how long the lab waits for a node to have a change; it is recorded for one that never has.
	propagationTimeout = 20 * time.Second
	// revisionPollInterval is how often a node's metrics are read meanwhile.
	revisionPollInterval = 5 * time.Millisecond
)

// awaitRevision reads a node's /metrics until it has a revision of the list, and records how long after acknowledged
// that was.
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
	return 0, errors.New("no glencart_list_revision")
}
