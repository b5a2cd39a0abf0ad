package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Execution is one request that a stand-in backend ran, as a line of its log.
type Execution struct {
	At      int64  `json:"at_ns"` // Unix time in nanoseconds when its last byte had arrived
	Backend string `json:"backend"`
	Trace   string `json:"trace"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
}

// BackendServer is a stand-in backend that speaks PROTOCOL-hitchvale.md's backend side: a request without
// X-Trace-Id gets 404; one with it runs for the service time and gets 200 (or 500 for the share of errors in
// its behaviour), and is written to the log before the answer, so that a kill between the two is seen as
// "may have run". Probes (/health/live, /stats) answer 200.
type BackendServer struct {
	ID       string
	Behavior BackendBehavior

	mu  sync.Mutex
	log *os.File
	rng *rand.Rand
}

// ServeBackend runs a stand-in backend on ln until ctx ends, appending its executions to logPath (JSON lines,
// one unbuffered write each, so that a SIGKILL loses none that was answered).
func ServeBackend(ctx context.Context, ln net.Listener, id string, b BackendBehavior, logPath string,
	seed uint64) error {
	f, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("backend log: %w", err)
	}
	defer f.Close()
	s := &BackendServer{ID: id, Behavior: b, log: f, rng: rand.New(rand.NewPCG(seed, 2))}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// ServeHTTP answers one request.
func (backend *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/live", "/stats":
		w.WriteHeader(http.StatusOK)
		return
	}
	io.Copy(io.Discard, r.Body) // it starts once the last byte has arrived
	trace := r.Header.Get("X-Trace-Id")
	if trace == "" {
		http.Error(w, "no trace id", http.StatusNotFound)
		return
	}
	e := Execution{At: time.Now().UnixNano(), Backend: backend.ID, Trace: trace, Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method}
	runs := 1
	if backend.Behavior.RunTwice && r.Method == http.MethodPost {
		runs = 2 // the planted bug: the effect is applied twice
	}
	for range runs {
		if err := backend.record(e); err != nil {
			http.Error(w, "log: "+err.Error(), http.StatusInternalServerError)
			return
		}
	}
	time.Sleep(backend.Behavior.ServiceTime.Duration)
	if backend.draw(backend.Behavior.HangShare) {
		time.Sleep(hangDuration)
	}
	if backend.draw(backend.Behavior.ResetShare) {
		panic(http.ErrAbortHandler)
	}
	if backend.draw(backend.Behavior.ErrorShare) {
		http.Error(w, "planted error", http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "ran %s at %s\n", trace, backend.ID)
}

// hangDuration is how long a request hangs that is to hang.
const hangDuration = 2 * time.Second

// draw tells whether a share hits this time.
func (backend *BackendServer) draw(share float64) bool {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.rng.Float64() < share
}

func (backend *BackendServer) record(e Execution) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	_, err = backend.log.Write(append(line, '\n'))
	return err
}

// ReadExecutions reads a backend's log; a torn last line (the process was killed while writing) is skipped.
func ReadExecutions(path string) ([]Execution, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var out []Execution
	dec := json.NewDecoder(bytes.NewReader(text))
	for dec.More() {
		var e Execution
		if err := dec.Decode(&e); err != nil {
			break
		}
		out = append(out, e)
	}
	return out, nil
}
