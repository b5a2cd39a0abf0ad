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

// leaseCmd returns the command with the operations on leases.
func leaseCmd(g *globalFlags) *cobra.Command {
	var replicas []string
	c := &cobra.Command{
		Use:   "lease",
		Short: "Hold, show and release leases of the registry, each of which has one holder at a time",
	}
	c.PersistentFlags().StringSliceVar(&replicas, "registry", nil, "HTTP addresses of the registry's replicas")
	newClient := func() (*lease.Client, error) {
		if len(replicas) == 0 {
			return nil, usageError(errors.New("--registry must name at least one replica"))
		}
		return &lease.Client{Replicas: replicas}, nil
	}
	c.AddCommand(leaseAcquireCmd(g, newClient), leaseShowCmd(&replicas), leaseReleaseCmd(newClient))
	return c
}

// leaseAcquireCmd returns the command that acquires a lease and holds it.
func leaseAcquireCmd(g *globalFlags, newClient func() (*lease.Client, error)) *cobra.Command {
	var holder string
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "acquire NAME --holder ID",
		Short: "Wait for a lease, print its token, hold it until SIGTERM (then release it) or until it is lost (exit 1)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := g.newLogger()
			if err != nil {
				return err
			}
			client, err := newClient()
			if err != nil {
				return err
			}
			held, err := client.Acquire(cmd.Context(), args[0], holder, ttl)
			if err != nil {
				return failedError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "{\"lease\":%q,\"holder\":%q,\"token\":%d}\n", held.Name, held.Holder, held.Token)
			return holdLease(cmd.Context(), held, log)
		},
	}
	c.Flags().StringVar(&holder, "holder", "", "the holder's id")
	c.Flags().DurationVar(&ttl, "ttl", 2*time.Second, "the lease's TTL")
	c.MarkFlagRequired("holder")
	return c
}

// releaseTimeout limits how long the command takes to release its lease at the end.
const releaseTimeout = 2 * time.Second

// holdLease holds a lease until ctx ends, and then releases it. It returns an error if the lease is lost before.
func holdLease(ctx context.Context, held *lease.Lease, log *slog.Logger) error {
	log.Info("lease held", "component", "lease", "lease", held.Name, "holder", held.Holder, "token", held.Token)
	select {
	case <-held.Lost:
		return failedError(fmt.Errorf("lease %s was lost", held.Name))
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

// showTimeout limits how long lease show waits for one replica.
const showTimeout = 2 * time.Second

// leaseShowCmd returns the command that prints the leases. It asks the replicas in their order until one answers.
func leaseShowCmd(replicas *[]string) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print all leases that are held, as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var lastErr error = usageError(errors.New("--registry must name at least one replica"))
			for _, addr := range *replicas {
				leases, err := fetchLeases(addr)
				if err == nil {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(leases)
				}
				lastErr = failedError(err)
			}
			return lastErr
		},
	}
}

// fetchLeases reads the list of leases from one replica.
func fetchLeases(addr string) (leases any, err error) {
	response, err := (&http.Client{Timeout: showTimeout}).Get("http://" + addr + "/registry/leases")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, 4<<20)).Decode(&leases)
	return leases, err
}

// leaseReleaseCmd returns the command that releases a lease that another process holds.
func leaseReleaseCmd(newClient func() (*lease.Client, error)) *cobra.Command {
	var holder string
	var token uint64
	c := &cobra.Command{
		Use:   "release NAME --holder ID --token N",
		Short: "Release a lease in place of its holder",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := newClient()
			if err != nil {
				return err
			}
			held := client.ExistingLease(args[0], holder, token)
			if err := held.Release(cmd.Context()); err != nil {
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
