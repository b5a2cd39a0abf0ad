// Command hitchvale is the operators' command: it runs the fault lab and, as they are built, the registry, leases,
// releases and recovery (docs/ROADMAP.md). Exit codes: 0 ok, 1 a check failed, 2 bad usage or a bad file.
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

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (f exitError) Error() string { return f.err.Error() }
func (f exitError) Unwrap() error { return f.err }

func usageError(err error) error  { return exitError{exitUsage, err} }
func failedError(err error) error { return exitError{exitFailed, err} }

// logFlushTimeout is how long the end of the process waits for the reader of its log.
const logFlushTimeout = 500 * time.Millisecond

func main() {
	sysfault.ExecIfChild() // first of all: it may become another program
	// A reader of the log that ends, or stops reading, must neither end a replica nor block it.
	signal.Ignore(syscall.SIGPIPE)
	log := asynclog.New(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, log)
	stop()
	log.Close(logFlushTimeout)
	os.Exit(code)
}

// run executes one command line and gives its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "hitchvale:", err)
	var f exitError
	if errors.As(err, &f) {
		return f.code
	}
	return exitUsage // cobra's own errors are of usage: an unknown command or flag, a missing argument
}

// globalFlags are the flags that every subcommand shares.
type globalFlags struct {
	logFormat string
	logLevel  string
	stderr    io.Writer
}

// newLogger makes the one logger that is passed down; its keys are stable: component, node, revision, term, lease,
// request.
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

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	g := &globalFlags{stderr: stderr}
	root := &cobra.Command{
		Use:           "hitchvale",
		Short:         "Run, break and check fleets of nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.PersistentFlags().StringVar(&g.logFormat, "log-format", "json", "log format on standard error: json or text")
	root.PersistentFlags().StringVar(&g.logLevel, "log-level", "info", "least level logged: debug, info, warn or error")
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
