// Command hitchvale-node runs one load-balancing node. It reads its configuration from the file that BALANCER_CONFIG
// names; BALANCER_ADMIN, where set, replaces the address of the admin server that the file gives.
//
// SIGHUP has it read the configuration again, SIGTERM shuts it down gracefully. It exits with status 1 and one line on
// standard error where it can't start or its listener fails.
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

// logFlushTimeout is how long the exit waits for the log's reader.
const logFlushTimeout = 500 * time.Millisecond

func main() {
	// The log's reader may exit or stall: neither may end the node or hold it up.
	signal.Ignore(syscall.SIGPIPE)
	logWriter := asynclog.New(os.Stderr)
	err := run(logWriter)
	if err != nil {
		fmt.Fprintln(logWriter, "hitchvale-node:", err)
	}
	logWriter.Close(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// run runs the node until SIGTERM, and logs to logWriter.
func run(logWriter io.Writer) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before all else, and never stopped: unhandled, it ends the process
	path := os.Getenv("BALANCER_CONFIG")
	config, err := loadConfig(path)
	if err != nil {
		return err
	}
	setRuntimeLimits(config)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(logWriter, nil))
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	// A draining node still forwards requests, so it follows a discovery that moves until it exits.
	reloading, stopReloading := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopReloading()
	wg.Go(func() { reloadOn(reloading, hangups, path, n, log) })
	return n.Run(ctx)
}

// loadConfig reads the configuration and the environment.
func loadConfig(path string) (node.Config, error) {
	config, err := node.LoadConfig(path)
	if err != nil {
		return config, err
	}
	if admin := os.Getenv("BALANCER_ADMIN"); admin != "" {
		// Two processes of a node may share a configuration file, but not this address.
		if err := config.SetAdmin(admin); err != nil {
			return config, err
		}
	}
	return config, nil
}

const (
	// reloadRetryPeriod is how long a configuration that can't be read is tried again after SIGHUP: it may be half
	// written, or the process short of descriptors, and nobody sends the signal twice.
	reloadRetryPeriod = time.Minute
	// The wait between the tries doubles from reloadMinBackoff to reloadMaxBackoff.
	reloadMinBackoff = 50 * time.Millisecond
	reloadMaxBackoff = time.Second
)

// reloadOn reads the configuration again at each signal, until ctx ends. One that can't be read changes nothing.
func reloadOn(ctx context.Context, hangups <-chan os.Signal, path string, n *node.Node, log *slog.Logger) {
	var retry <-chan time.Time // nil: no retry is due
	var backoff time.Duration
	var retryUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			backoff = reloadMinBackoff
			retryUntil = time.Now().Add(reloadRetryPeriod)
		case <-retry:
		}
		retry = nil
		config, err := node.LoadConfig(path)
		if err == nil {
			n.Reload(config)
			continue
		}
		retrying := !time.Now().After(retryUntil)
		log.Error("configuration reload failed", "error", err, "retrying", retrying)
		if retrying {
			retry = time.After(backoff)
			backoff = min(2*backoff, reloadMaxBackoff)
		}
	}
}

const (
	// memoryShare is the tenth parts of the memory limit that the Go heap may take, and sharedMemoryShare those of a
	// node whose successor may run at the same time.
	memoryShare       = 7
	sharedMemoryShare = 4
	// gcPercent has the collector run seldom; near the memory limit it runs more often by itself.
	gcPercent = 200
)

// setRuntimeLimits fits the Go runtime into the machine's share that the configuration gives.
func setRuntimeLimits(config node.Config) {
	limits := config.Limits
	share := int64(memoryShare)
	if config.Admin != "" {
		share = sharedMemoryShare
	}
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(limits.Cores))))
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(limits.MemoryMB << 20 / 10 * share)
		debug.SetGCPercent(gcPercent)
	}
}
