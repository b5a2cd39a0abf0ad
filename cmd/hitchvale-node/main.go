// Command hitchvale-node runs one load-balancing node. It reads its configuration from the file that BALANCER_CONFIG
// names. If BALANCER_ADMIN is set, it replaces the address of the admin server in the file.
//
// On SIGHUP the node reads the configuration again, and on SIGTERM it shuts down gracefully. It exits with status 1 and
// one line on standard error if it can't start or its listener fails.
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
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/asynclog"
	"hitchvale/internal/node"
)

// logFlushTimeout bounds how long the exit waits until the log is written.
const logFlushTimeout = 500 * time.Millisecond

func main() {
	// The reader of the log may exit or stall. Neither may end or block the node.
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

// run runs the node until it has shut down, and logs to logWriter.
func run(logWriter io.Writer) error {
	hangups := make(chan os.Signal, 1)
	// SIGHUP is handled first and until the process exits, since an unhandled SIGHUP ends the process.
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	config, err := loadConfig(path)
	if err != nil {
		return err
	}
	setProcessors(config)
	config.LimitRuntime = true
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(logWriter, nil))
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	// A draining node still forwards requests, so it follows discovery to a new address until it exits.
	reloading, stopReloading := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopReloading()
	wg.Go(func() { reloadOn(reloading, hangups, path, n, log) })
	return n.Run(ctx)
}

// loadConfig reads the configuration file and applies the environment to it.
func loadConfig(path string) (node.Config, error) {
	config, err := node.LoadConfig(path)
	if err != nil {
		return config, err
	}
	if admin := os.Getenv("BALANCER_ADMIN"); admin != "" {
		// Two processes of a node may share a configuration file, but not the admin address.
		if err := config.SetAdmin(admin); err != nil {
			return config, err
		}
	}
	return config, nil
}

const (
	// reloadRetryPeriod is how long after SIGHUP a configuration that can't be read is retried. The file may be half
	// written or the process short of descriptors, and nobody sends the signal twice.
	reloadRetryPeriod = time.Minute
	// The wait between two tries doubles from reloadMinBackoff to reloadMaxBackoff.
	reloadMinBackoff = 50 * time.Millisecond
	reloadMaxBackoff = time.Second
)

// reloadOn reads the configuration again on each signal and applies it to the node, until ctx ends. A configuration
// that can't be read changes nothing and is retried for reloadRetryPeriod.
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
		log.Error("configuration reload failed, keeping the current configuration", "error", err, "retrying", retrying)
		if retrying {
			retry = time.After(backoff)
			backoff = min(2*backoff, reloadMaxBackoff)
		}
	}
}

// setProcessors limits the processors to those that the configuration gives the node.
func setProcessors(config node.Config) {
	if cores := config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(cores))))
	}
}
