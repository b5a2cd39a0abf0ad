// Command glencart is one real node: a request balancer on real sockets. It reads its configuration from the
// file that BALANCER_CONFIG names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"glencart/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "glencart:", err)
		os.Exit(1)
	}
}

func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: unheeded, it ends the program
	defer signal.Stop(hup)
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
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	wg.Go(func() { reloadOn(ctx, hup, path, n, log) })
	return n.Run(ctx)
}

// reloadOn reads the configuration again at each signal, until ctx ends. One that can't be read changes nothing.
func reloadOn(ctx context.Context, hup <-chan os.Signal, path string, n *node.Node, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := node.LoadConfig(path)
		if err != nil {
			log.Error("configuration not replaced", "error", err)
			continue
		}
		n.Reload(cfg)
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
