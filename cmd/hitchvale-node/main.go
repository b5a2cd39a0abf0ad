// Command hitchvale-node is one load-balancing node: a request balancer on real sockets. It reads its configuration from the
// file that BALANCER_CONFIG names.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/asynclog"
	"hitchvale/internal/node"
)

// logFlush is how long the end of the process waits for whoever reads its log.
const logFlush = 500 * time.Millisecond

func main() {
	// The log's reader may go, or read no further: neither may end the node or hold it up.
	signal.Ignore(syscall.SIGPIPE)
	out := asynclog.New(os.Stderr)
	err := run(out)
	if err != nil {
		fmt.Fprintln(out, "hitchvale-node:", err)
	}
	out.Close(logFlush)
	if err != nil {
		os.Exit(1)
	}
}

func run(out io.Writer) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all, and to the very end: unheeded, it ends the program
	path := os.Getenv("BALANCER_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	if admin := os.Getenv("BALANCER_ADMIN"); admin != "" {
		// Two processes of a node may share a configuration, but never this address.
		if err := cfg.SetAdmin(admin); err != nil {
			return err
		}
	}
	limit(cfg)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(out, nil))
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	// A node that drains still sends what it has taken, so it goes on following where discovery moves until it has left.
	reloading, stopReloading := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopReloading()
	wg.Go(func() { reloadOn(reloading, hup, path, n, log) })
	return n.Run(ctx)
}

// Where a configuration cannot be read it is tried again for reloadFor, as it may be half written or the process short of
// descriptors: nobody sends the signal twice. The wait doubles from reloadRetryLeast to reloadRetryMost.
const (
	reloadFor                         = time.Minute
	reloadRetryLeast, reloadRetryMost = 50 * time.Millisecond, time.Second
)

// reloadOn reads the configuration again at each signal, until ctx ends. One that can't be read changes nothing.
func reloadOn(ctx context.Context, hup <-chan os.Signal, path string, n *node.Node, log *slog.Logger) {
	var retry <-chan time.Time // nil: nothing is to be read again
	var wait time.Duration
	var until time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			wait, until = reloadRetryLeast, time.Now().Add(reloadFor)
		case <-retry:
		}
		retry = nil
		cfg, err := node.LoadConfig(path)
		if err == nil {
			n.Reload(cfg)
			continue
		}
		if time.Now().After(until) {
			log.Error("configuration not replaced, given up: correct the file and send SIGHUP again", "error", err)
			continue
		}
		log.Error("configuration not replaced, reading it again soon", "error", err)
		retry = time.After(wait)
		wait = min(2*wait, reloadRetryMost)
	}
}

// limit fits the runtime into the machine. The collector starts seldom, and works harder where memory is short.
// Two processes of a node, one replacing the other, share it.
func limit(cfg node.Config) {
	l, part := cfg.Limits, int64(7)
	if cfg.Admin != "" {
		part = 4
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 / 10 * part)
		debug.SetGCPercent(200)
	}
}
