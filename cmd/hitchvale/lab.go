package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hitchvale/internal/lab"
	"hitchvale/internal/sysfault"
)

func labCmd(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "The fault lab: start processes on loopback, break them, check the history"}
	c.AddCommand(labRunCmd(g), labCheckCmd(), labBackendCmd(g), labShimCmd(), labCandidateCmd())
	return c
}

func labCheckCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO.toml",
		Short: "Check a scenario file without running it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := lab.LoadScenario(args[0])
			if err != nil {
				return usageError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d nodes, %d backends, %d faults over %s\n", s.Name, s.Nodes, s.Backends,
				len(s.Faults), s.Duration)
			return nil
		},
	}
}

func labRunCmd(g *globalFlags) *cobra.Command {
	var out, bin string
	c := &cobra.Command{
		Use:   "run SCENARIO.toml",
		Short: "Play a scenario and write report.json and plots; exit 1 where an invariant fails",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := g.newLogger()
			if err != nil {
				return err
			}
			s, err := lab.LoadScenario(args[0])
			if err != nil {
				return usageError(err)
			}
			self, err := os.Executable()
			if err != nil {
				return failedError(err)
			}
			if bin == "" {
				bin = filepath.Dir(self)
			}
			if out == "" {
				out = filepath.Join("logs", "lab", s.Name+"-"+time.Now().Format("20060102T150405"))
			}
			opts := lab.Options{NodeBinary: filepath.Join(bin, "hitchvale-node"), CommandBinary: self, Out: out, Log: log}
			r, err := lab.Run(cmd.Context(), s, opts)
			if err != nil {
				return failedError(err)
			}
			summary, _ := json.Marshal(struct {
				Passed bool           `json:"passed"`
				Counts map[string]int `json:"counts"`
				Out    string         `json:"out"`
			}{r.Passed, r.Counts, out})
			fmt.Fprintln(cmd.OutOrStdout(), string(summary))
			for _, c := range r.Checks {
				if !c.OK {
					return failedError(fmt.Errorf("%s: %d violations, first %v", c.Name, c.Violations, c.Examples))
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "output folder (default logs/lab/NAME-TIME)")
	c.Flags().StringVar(&bin, "bin", "", "folder with the hitchvale-node binary (default: this command's folder)")
	return c
}

// labBackendCmd is the stand-in backend that the lab starts; it is a command of its own so that it can be killed,
// paused and restarted as a real process.
func labBackendCmd(g *globalFlags) *cobra.Command {
	var id, listen, logPath string
	var b lab.BackendBehavior
	var service time.Duration
	var seed uint64
	c := &cobra.Command{
		Use:    "backend",
		Short:  "Serve as a stand-in backend (started by the lab)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if b.ErrorShare < 0 || b.ErrorShare > 1 {
				return usageError(fmt.Errorf("--errors: %g is outside 0 to 1", b.ErrorShare))
			}
			ln, err := net.Listen("tcp", listen)
			if err != nil {
				return failedError(err)
			}
			b.ServiceTime.Duration = service
			return lab.ServeBackend(cmd.Context(), ln, id, b, logPath, seed)
		},
	}
	c.Flags().StringVar(&id, "id", "backend", "the backend's id in discovery")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&logPath, "log", "backend.runs", "file that each request run is appended to")
	c.Flags().DurationVar(&service, "service", 2*time.Millisecond, "service time of each request")
	c.Flags().Float64Var(&b.ErrorShare, "errors", 0, "share of requests answered 500")
	c.Flags().BoolVar(&b.RunTwice, "twice", false, "planted bug: run every POST twice")
	c.Flags().Float64Var(&b.ResetShare, "resets", 0, "share of requests whose connection ends after they have run")
	c.Flags().Float64Var(&b.HangShare, "hangs", 0, "share of requests answered far too late")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random errors")
	return c
}

// labShimCmd runs a program of the lab's with its system calls failing by a plan.
func labShimCmd() *cobra.Command {
	var plan string
	var seed uint64
	c := &cobra.Command{
		Use:    "shim -- PROGRAM [ARG...]",
		Short:  "Run a program with system calls that fail by a plan (started by the lab)",
		Hidden: true,
		Args:   cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := sysfault.ParsePlan(plan)
			if err != nil {
				return usageError(err)
			}
			code, err := sysfault.Run(p, seed, args)
			if err != nil {
				return failedError(err)
			}
			os.Exit(code)
			return nil
		},
	}
	c.Flags().StringVar(&plan, "plan", "[]", "the plan, as JSON")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the draws")
	return c
}

// labCandidateCmd is a candidate for a duty that the lab starts, kills, pauses and cuts off (lease scenarios).
func labCandidateCmd() *cobra.Command {
	var c lab.Candidate
	var replicas string
	cmd := &cobra.Command{
		Use:    "candidate",
		Short:  "Hold a duty whenever possible and write under its fencing token (started by the lab)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Replicas = strings.Split(replicas, ",")
			if replicas == "" || c.TTL <= 0 || c.WorkTime < 0 {
				return usageError(fmt.Errorf("--registry, a --ttl above 0 and a --work of 0 or more are needed"))
			}
			if err := c.Run(cmd.Context()); err != nil {
				return failedError(err)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&replicas, "registry", "", "the replicas' HTTP addresses, comma-separated")
	cmd.Flags().StringVar(&c.LeaseName, "duty", "duty", "the lease's name")
	cmd.Flags().StringVar(&c.ID, "id", "candidate", "the candidate's name")
	cmd.Flags().DurationVar(&c.TTL, "ttl", time.Second, "the lease's TTL")
	cmd.Flags().DurationVar(&c.WorkTime, "work", 50*time.Millisecond, "time between the lease check and the fenced write")
	cmd.Flags().StringVar(&c.Log, "log", "candidate.events", "file that the candidate's events are appended to")
	return cmd
}
