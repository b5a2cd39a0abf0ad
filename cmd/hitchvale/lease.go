package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
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
			leases, err := client()
			if err != nil {
				return err
			}
			held, err := leases.Acquire(cmd.Context(), args[0], holder, ttl)
			if err != nil {
				return failedError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "{\"lease\":%q,\"holder\":%q,\"token\":%d}\n", held.Name, held.Holder, held.Token)
			return holdLease(cmd.Context(), held, log)
		},
	}
	c.Flags().StringVar(&holder, "holder", "", "this holder's id")
	c.Flags().DurationVar(&ttl, "ttl", 2*time.Second, "the lease's TTL")
	c.MarkFlagRequired("holder")
	return c
}

// releaseTimeout bounds the release of a lease at the end of the command.
const releaseTimeout = 2 * time.Second

// holdLease holds a lease until ctx ends, then releases it; one that is lost before is an error.
func holdLease(ctx context.Context, held *lease.Lease, log *slog.Logger) error {
	log.Info("lease held", "component", "lease", "lease", held.Name, "holder", held.Holder, "token", held.Token)
	select {
	case <-held.Lost:
		return failedError(fmt.Errorf("lease %s lost", held.Name))
	case <-ctx.Done():
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := held.Release(releaseCtx); err != nil {
		return failedError(err)
	}
	log.Info("lease released", "component", "lease", "lease", held.Name, "token", held.Token)
	return nil
}

// showTimeout bounds the call of one replica.
const showTimeout = 2 * time.Second

func leaseShowCmd(replicas *[]string) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the leases held, as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var last error = usageError(errors.New("--registry: no replica named"))
			for _, addr := range *replicas {
				leases, err := fetchLeases(addr)
				if err == nil {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(leases)
				}
				last = failedError(err)
			}
			return last
		},
	}
}

// fetchLeases reads the list of leases of one replica.
func fetchLeases(addr string) (leases any, err error) {
	response, err := (&http.Client{Timeout: showTimeout}).Get("http://" + addr + "/registry/leases")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, 4<<20)).Decode(&leases)
	return leases, err
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
			h := cl.ExistingLease(args[0], holder, token)
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
