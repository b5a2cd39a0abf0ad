package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"hitchvale/internal/lease"
)

func leaseCmd(g *globalFlags) *cobra.Command {
	var replicas []string
	c := &cobra.Command{Use: "lease", Short: "Leases of the registry: duties one process holds at a time"}
	c.PersistentFlags().StringSliceVar(&replicas, "registry", nil, "HTTP addresses of the registry's replicas")
	client := func() (*lease.Client, error) {
		if len(replicas) == 0 {
			return nil, usageError(errors.New("--registry: no replica named"))
		}
		return &lease.Client{Replicas: replicas}, nil
	}
	c.AddCommand(leaseAcquireCmd(g, client), leaseShowCmd(&replicas), leaseReleaseCmd(client))
	return c
}

func leaseAcquireCmd(g *globalFlags, client func() (*lease.Client, error)) *cobra.Command {
	var holder string
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "acquire NAME --holder ID",
		Short: "Wait for the lease, print its token, hold it until SIGTERM (then release) or until it is lost (exit 1)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := g.newLogger()
			if err != nil {
				return err
			}
			cl, err := client()
			if err != nil {
				return err
			}
			h, err := cl.Acquire(cmd.Context(), args[0], holder, ttl)
			if err != nil {
				return failedError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "{\"lease\":%q,\"holder\":%q,\"token\":%d}\n", h.Name, h.Holder, h.Token)
			log.Info("lease held", "component", "lease", "lease", h.Name, "holder", h.Holder, "token", h.Token)
			select {
			case <-h.Lost:
				return failedError(fmt.Errorf("lease %s lost", h.Name))
			case <-cmd.Context().Done():
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := h.Release(ctx); err != nil {
				return failedError(err)
			}
			log.Info("lease released", "component", "lease", "lease", h.Name, "token", h.Token)
			return nil
		},
	}
	c.Flags().StringVar(&holder, "holder", "", "this holder's id")
	c.Flags().DurationVar(&ttl, "ttl", 2*time.Second, "the lease's TTL")
	c.MarkFlagRequired("holder")
	return c
}

func leaseShowCmd(replicas *[]string) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the leases held, as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var last error = usageError(errors.New("--registry: no replica named"))
			for _, addr := range *replicas {
				resp, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + addr + "/registry/leases")
				if err != nil {
					last = failedError(err)
					continue
				}
				var v any
				err = json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&v)
				resp.Body.Close()
				if err != nil {
					last = failedError(err)
					continue
				}
				return json.NewEncoder(cmd.OutOrStdout()).Encode(v)
			}
			return last
		},
	}
}

func leaseReleaseCmd(client func() (*lease.Client, error)) *cobra.Command {
	var holder string
	var token uint64
	c := &cobra.Command{
		Use:   "release NAME --holder ID --token N",
		Short: "Release a lease for its holder (an operator's step-down)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := client()
			if err != nil {
				return err
			}
			h := cl.Adopt(args[0], holder, token)
			if err := h.Release(cmd.Context()); err != nil {
				return failedError(err)
			}
			return nil
		},
	}
	c.Flags().StringVar(&holder, "holder", "", "the holder's id")
	c.Flags().Uint64Var(&token, "token", 0, "the holder's fencing token")
	c.MarkFlagRequired("holder")
	c.MarkFlagRequired("token")
	return c
}
