// Command hitchvale is the command for operators. It runs the fault lab and replicas of the registry, manages leases,
// and checks and repairs the data of a replica. Commands for releases are planned (docs/ROADMAP.md). Exit codes: 0
// means success, 1 a failed check or operation, 2 bad usage or an invalid file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hitchvale/internal/asynclog"
	"hitchvale/internal/sysfault"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

// Exit codes that scripts may rely on.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// usageError and failedError add an exit code to an error.
func usageError(err error) error  { return exitError{exitUsage, err} }
func failedError(err error) error { return exitError{exitFailed, err} }

// logFlushTimeout limits how long the process waits, before it exits, for the rest of its log to be written.
const logFlushTimeout = 500 * time.Millisecond

func main() {
	sysfault.ExecIfChild() // must be the first statement: it may replace this program
	// If the reader of the log ends or stops reading, a replica must neither end nor block.
	signal.Ignore(syscall.SIGPIPE)
	log := asynclog.New(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, log)
	stop()
	log.Close(logFlushTimeout)
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "hitchvale:", err)
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitUsage // errors of cobra itself are usage errors, such as an unknown command or a missing argument
}

// globalFlags are the flags of all subcommands.
type globalFlags struct {
	logFormat string
	logLevel  string
	stderr    io.Writer
}

// newLogger returns the logger that a command passes to its packages. The attribute keys of log lines are stable:
// component, node, revision, term, lease, request.
func (g *globalFlags) newLogger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(g.logLevel)); err != nil {
		return nil, usageError(fmt.Errorf("--log-level: %w", err))
	}
	opts := &slog.HandlerOptions{Level: level}
	switch g.logFormat {
	case "json":
		return slog.New(slog.NewJSONHandler(g.stderr, opts)), nil
	case "text":
		return slog.New(slog.NewTextHandler(g.stderr, opts)), nil
	}
	return nil, usageError(fmt.Errorf("--log-format: %q is neither json nor text", g.logFormat))
}

// newRoot returns the root command with all subcommands.
func newRoot(stdout, stderr io.Writer) *cobra.Command {
	g := &globalFlags{stderr: stderr}
	root := &cobra.Command{
		Use:           "hitchvale",
		Short:         "Run fleets of nodes, inject faults and check the results",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.PersistentFlags().StringVar(&g.logFormat, "log-format", "json", "log format on standard error: json or text")
	root.PersistentFlags().StringVar(&g.logLevel, "log-level", "info", "lowest level logged: debug, info, warn or error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(versionCmd(), labCmd(g), registryCmd(g), leaseCmd(g), recoverCmd())
	return root
}

func versionCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "hitchvale", version)
			return nil
		},
	}
}
