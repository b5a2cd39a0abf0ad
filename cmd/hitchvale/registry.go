package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"hitchvale/internal/accept"
	"hitchvale/internal/registry"
)

func registryCmd(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "registry", Short: "The replicated list service (PROTOCOL's discovery)"}
	c.AddCommand(registryServeCmd(g))
	return c
}

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
			cfg, err := registry.LoadConfig(path)
			if err != nil {
				return usageError(err)
			}
			listen := func(addr string) (net.Listener, error) {
				return accept.Open(func() (net.Listener, error) { return net.Listen("tcp", addr) }, func(err error) {
					log.Warn("listen failed, retrying", "address", addr, "error", err)
				})
			}
			raftLn, err := listen(cfg.ListenRaft())
			if err != nil {
				return failedError(fmt.Errorf("raft: %w", err))
			}
			httpLn, err := listen(cfg.HTTPAddr)
			if err != nil {
				raftLn.Close()
				return failedError(fmt.Errorf("http: %w", err))
			}
			r, err := registry.Open(cfg, raftLn, log)
			if err != nil {
				httpLn.Close()
				return failedError(err)
			}
			log.Info("serving", "component", "registry", "node", cfg.ID, "http", cfg.HTTPAddr, "raft", cfg.RaftAddr)
			serveErr := r.Serve(cmd.Context(), httpLn)
			if err := r.Close(); err != nil {
				return failedError(err)
			}
			if serveErr != nil {
				return failedError(serveErr)
			}
			return nil
		},
	}
	c.Flags().StringVar(&path, "config", "", "the replica's TOML file (see deploy/registry.toml)")
	c.MarkFlagRequired("config")
	return c
}
