package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hitchvale/internal/lab"
	"hitchvale/internal/sysfault"
)

// labCmd returns the command of the fault lab.
func labCmd(g *globalFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "The fault lab: start processes on loopback, inject faults, check the recorded events",
	}
	c.AddCommand(labRunCmd(g), labCheckCmd(), labBackendCmd(), labShimCmd(), labCandidateCmd())
	return c
}

// labCheckCmd returns the command that checks a scenario file.
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

// labRunFlags are the flags of lab run.
type labRunFlags struct {
	out string
	bin string
}

// labRunCmd returns the command that runs a scenario.
func labRunCmd(g *globalFlags) *cobra.Command {
	var flags labRunFlags
	c := &cobra.Command{
		Use:   "run SCENARIO.toml",
		Short: "Run a scenario and write report.json and plots; exit 1 if an invariant fails",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := g.newLogger()
			if err != nil {
				return err
			}
			return flags.run(cmd, args[0], log)
		},
	}
	c.Flags().StringVar(&flags.out, "out", "", "output folder (default logs/lab/NAME-TIME)")
	c.Flags().StringVar(&flags.bin, "bin", "", "folder with the hitchvale-node binary (default: this command's folder)")
	return c
}

// run runs the scenario of a file and prints a summary as JSON. If checks failed, it returns the first of them as an
// error.
func (flags labRunFlags) run(cmd *cobra.Command, path string, log *slog.Logger) error {
	scenario, err := lab.LoadScenario(path)
	if err != nil {
		return usageError(err)
	}
	opts, err := flags.options(scenario.Name, log)
	if err != nil {
		return failedError(err)
	}
	report, err := lab.Run(cmd.Context(), scenario, opts)
	if err != nil {
		return failedError(err)
	}
	summary, _ := json.Marshal(struct {
		Passed bool           `json:"passed"`
		Counts map[string]int `json:"counts"`
		Out    string         `json:"out"`
	}{report.Passed, report.Counts, opts.Out})
	fmt.Fprintln(cmd.OutOrStdout(), string(summary))
	for _, check := range report.Checks {
		if !check.OK {
			return failedError(fmt.Errorf("%s: %d violations, for example %v", check.Name, check.Violations, check.Examples))
		}
	}
	return nil
}

// options returns the programs and the output folder of a run, with defaults for flags that are not set.
func (flags labRunFlags) options(scenario string, log *slog.Logger) (lab.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return lab.Options{}, err
	}
	bin := flags.bin
	if bin == "" {
		bin = filepath.Dir(self)
	}
	out := flags.out
	if out == "" {
		out = filepath.Join("logs", "lab", scenario+"-"+time.Now().Format("20060102T150405"))
	}
	node := filepath.Join(bin, "hitchvale-node")
	return lab.Options{NodeBinary: node, CommandBinary: self, Out: out, Log: log}, nil
}

// labBackendCmd returns the command of the test backend that the lab starts. The backend has its own command so that
// the lab can kill, pause and restart it as a separate process.
func labBackendCmd() *cobra.Command {
	var id, listen, logPath string
	var behavior lab.BackendBehavior
	var seed uint64
	c := &cobra.Command{
		Use:    "backend",
		Short:  "Run a test backend (started by the lab)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if share := behavior.ErrorShare; share < 0 || share > 1 {
				return usageError(fmt.Errorf("--errors: %g must be from 0 to 1", share))
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return failedError(err)
			}
			return lab.ServeBackend(cmd.Context(), listener, id, behavior, logPath, seed)
		},
	}
	c.Flags().StringVar(&id, "id", "backend", "the backend's id in discovery")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&logPath, "log", "backend.runs", "file to which a line for each request that ran is appended")
	c.Flags().DurationVar(&behavior.ServiceTime.Duration, "service", 2*time.Millisecond, "service time of each request")
	c.Flags().Float64Var(&behavior.ErrorShare, "errors", 0, "share of requests answered 500")
	c.Flags().BoolVar(&behavior.RunTwice, "twice", false, "deliberate bug for tests: run every POST twice")
	c.Flags().Float64Var(&behavior.ResetShare, "resets", 0, "share of requests whose connection ends after they have run")
	c.Flags().Float64Var(&behavior.HangShare, "hangs", 0, "share of requests answered far too late")
	c.Flags().Float64Var(&behavior.StopReadingShare, "stops-reading", 0,
		"share of requests of which only a part of the body is read, and which are not answered")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random errors")
	return c
}

// labShimCmd returns the command that runs a program of the lab with system call faults. Its process is the tracer of
// package sysfault.
func labShimCmd() *cobra.Command {
	var planText string
	var seed uint64
	c := &cobra.Command{
		Use:    "shim -- PROGRAM [ARG...]",
		Short:  "Run a program with system call faults from a plan (started by the lab)",
		Hidden: true,
		Args:   cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			plan, err := sysfault.ParsePlan(planText)
			if err != nil {
				return usageError(err)
			}
			code, err := sysfault.Run(plan, seed, args)
			if err != nil {
				return failedError(err)
			}
			os.Exit(code)
			return nil
		},
	}
	c.Flags().StringVar(&planText, "plan", "[]", "the plan of faults, as JSON")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	return c
}

// labCandidateCmd returns the command of a candidate for a lease. In lease scenarios the lab starts candidates, kills
// them, pauses them and disconnects them from the registry.
func labCandidateCmd() *cobra.Command {
	var candidate lab.Candidate
	var replicas string
	c := &cobra.Command{
		Use:    "candidate",
		Short:  "Hold a lease whenever possible and write with its fencing token (started by the lab)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			candidate.Replicas = strings.Split(replicas, ",")
			if replicas == "" || candidate.TTL <= 0 || candidate.WorkTime < 0 {
				return usageError(errors.New("--registry must be given, --ttl must be above 0 and --work must not be negative"))
			}
			if err := candidate.Run(cmd.Context()); err != nil {
				return failedError(err)
			}
			return nil
		},
	}
	c.Flags().StringVar(&replicas, "registry", "", "HTTP addresses of the replicas, comma-separated")
	c.Flags().StringVar(&candidate.LeaseName, "duty", "duty", "the name of the lease")
	c.Flags().StringVar(&candidate.ID, "id", "candidate", "the candidate's name")
	c.Flags().DurationVar(&candidate.TTL, "ttl", time.Second, "the lease's TTL")
	c.Flags().DurationVar(&candidate.WorkTime, "work", 50*time.Millisecond,
		"time between the lease check and the fenced write")
	c.Flags().StringVar(&candidate.Log, "log", "candidate.events", "file to which the candidate's events are appended")
	return c
}
