package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"github.com/spf13/cobra"

	"hitchvale/internal/accept"
	"hitchvale/internal/registry"
)

// registryCmd returns the command of the registry.
func registryCmd(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "registry", Short: "The replicated registry of endpoints (the protocol's discovery service)"}
	c.AddCommand(registryServeCmd(g))
	return c
}

// registryServeCmd returns the command that runs one replica of the registry.
func registryServeCmd(g *globalFlags) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one replica until SIGTERM or Ctrl-C",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := g.newLogger()
			if err != nil {
				return err
			}
			config, err := registry.LoadConfig(path)
			if err != nil {
				return usageError(err)
			}
			if err := serveReplica(cmd.Context(), config, log); err != nil {
				return failedError(err)
			}
			return nil
		},
	}
	c.Flags().StringVar(&path, "config", "", "the replica's TOML file (see deploy/registry.toml)")
	c.MarkFlagRequired("config")
	return c
}

// serveReplica opens the sockets and the data of a replica, and runs it until ctx ends.
func serveReplica(ctx context.Context, config registry.Config, log *slog.Logger) error {
	raftListener, err := listen(config.ListenRaft(), log)
	if err != nil {
		return fmt.Errorf("opening the raft address: %w", err)
	}
	httpListener, err := listen(config.HTTPAddr, log)
	if err != nil {
		raftListener.Close()
		return fmt.Errorf("opening the HTTP address: %w", err)
	}
	replica, err := registry.Open(config, raftListener, log)
	if err != nil {
		httpListener.Close()
		return err
	}
	log.Info("serving", "component", "registry", "node", config.ID, "http", config.HTTPAddr, "raft", config.RaftAddr)
	serveErr := replica.Serve(ctx, httpListener)
	if err := replica.Close(); err != nil {
		return err
	}
	return serveErr
}

// listen opens a listener at an address, and retries after transient errors (see accept.OpenWithRetry).
func listen(addr string, log *slog.Logger) (net.Listener, error) {
	open := func() (net.Listener, error) { return net.Listen("tcp", addr) }
	return accept.OpenWithRetry(open, func(err error) {
		log.Warn("listen failed, retrying", "address", addr, "error", err)
	})
}
