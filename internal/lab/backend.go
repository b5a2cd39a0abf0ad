package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// backendStream is the random stream of a stand-in backend. It keeps the backend's draws independent of other draws
	// from the same seed.
	backendStream = 2
	// hangDuration is how long a hanging request takes in addition to its service time.
	hangDuration = 2 * time.Second
	// stopReadingDuration is how long a backend that stops reading a body keeps the connection. It is longer than a node
	// waits for a backend that takes nothing.
	stopReadingDuration = 15 * time.Second
	// maxReadBeforeStop is how many bytes of a body are read at most before the backend stops reading.
	maxReadBeforeStop = 1 << 20
	// backendReadHeaderTimeout bounds the wait for a request's head.
	backendReadHeaderTimeout = 5 * time.Second
)

// Execution is one request that a stand-in backend executed. Each line of the backend's log holds one Execution.
type Execution struct {
	At      int64  `json:"at_ns"` // Unix time in nanoseconds when the request's last byte had arrived
	Backend string `json:"backend"`
	Trace   string `json:"trace"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
}

// BackendServer is a stand-in backend, which implements the backend's side of PROTOCOL-hitchvale.md. A request with an
// X-Trace-Id header takes the service time and gets 200. Behavior sets the shares of these requests for which the
// response comes late, has status 500, or is replaced by a reset of the connection. A request without the header gets
// 404. The backend writes a request to its log before it responds, so a request counts as executed if the backend is
// killed in between. Health checks (/health/live, /stats) get 200.
type BackendServer struct {
	ID       string
	Behavior BackendBehavior

	mu  sync.Mutex
	log *os.File
	rng *rand.Rand
}

// ServeBackend runs a stand-in backend on ln until ctx ends. It appends the backend's executions to the file logPath,
// as JSON lines. Each line is written without buffering, so that a SIGKILL loses no request that was answered.
func ServeBackend(ctx context.Context, ln net.Listener, id string, behavior BackendBehavior, logPath string,
	seed uint64) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("backend log: %w", err)
	}
	defer log.Close()
	backend := &BackendServer{ID: id, Behavior: behavior, log: log, rng: rand.New(rand.NewPCG(seed, backendStream))}
	server := &http.Server{Handler: backend, ReadHeaderTimeout: backendReadHeaderTimeout}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP answers one request.
func (backend *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case livePath, "/stats":
		w.WriteHeader(http.StatusOK)
		return
	}
	if share := backend.Behavior.StopReadingShare; share > 0 && r.ContentLength != 0 && backend.draw(share) {
		io.CopyN(io.Discard, r.Body, backend.drawBytes(maxReadBeforeStop))
		time.Sleep(stopReadingDuration)
		panic(http.ErrAbortHandler) // not executed
	}
	pace := paceOf(r)
	if err := pace.readBody(r.Body); err != nil {
		panic(http.ErrAbortHandler) // the execution starts only when the last byte has arrived
	}
	trace := r.Header.Get("X-Trace-Id")
	if trace == "" {
		http.Error(w, "no trace id", http.StatusNotFound)
		return
	}
	if err := backend.execute(r, trace); err != nil {
		http.Error(w, "log: "+err.Error(), http.StatusInternalServerError)
		return
	}
	time.Sleep(max(backend.Behavior.ServiceTime.Duration, pace.service))
	if backend.draw(backend.Behavior.HangShare) {
		time.Sleep(hangDuration)
	}
	if backend.draw(backend.Behavior.ResetShare) {
		panic(http.ErrAbortHandler) // resets the connection
	}
	if backend.draw(backend.Behavior.ErrorShare) {
		http.Error(w, "planted error", http.StatusInternalServerError)
		return
	}
	if pace.answerBytes > 0 {
		pace.writeAnswer(w)
		return
	}
	fmt.Fprintf(w, "ran %s at %s\n", trace, backend.ID)
}

// execute records the execution of a request. With RunTwice it records a POST twice.
func (backend *BackendServer) execute(r *http.Request, trace string) error {
	execution := Execution{At: time.Now().UnixNano(), Backend: backend.ID, Trace: trace,
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method}
	executions := 1
	if backend.Behavior.RunTwice && r.Method == http.MethodPost {
		executions = 2
	}
	for range executions {
		if err := backend.record(execution); err != nil {
			return err
		}
	}
	return nil
}

// draw draws whether the present request belongs to a share of the requests.
func (backend *BackendServer) draw(share float64) bool {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.rng.Float64() < share
}

// drawBytes draws a number of bytes below limit.
func (backend *BackendServer) drawBytes(limit int64) int64 {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.rng.Int64N(limit)
}

// record appends an execution to the log.
func (backend *BackendServer) record(execution Execution) error {
	line, err := json.Marshal(execution)
	if err != nil {
		return err
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	_, err = backend.log.Write(append(line, '\n'))
	return err
}

// ReadExecutions reads a backend's log. It ignores an incomplete last line, which the backend leaves if it is killed
// while it writes.
func ReadExecutions(path string) ([]Execution, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var executions []Execution
	decoder := json.NewDecoder(bytes.NewReader(text))
	for decoder.More() {
		var execution Execution
		if err := decoder.Decode(&execution); err != nil {
			break
		}
		executions = append(executions, execution)
	}
	return executions, nil
}
