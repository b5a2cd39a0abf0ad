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
	exitOK, exitFailed, exitUsage = 0, 1, 2
)

// failure is an error with its exit code.
type failure struct {
	code int
	err  error
}

func (f failure) Error() string { return f.err.Error() }
func (f failure) Unwrap() error { return f.err }

func usage(err error) error  { return failure{exitUsage, err} }
func failed(err error) error { return failure{exitFailed, err} }

// logFlush is how long the end of the process waits for whoever reads its log.
const logFlush = 500 * time.Millisecond

func main() {
	sysfault.EnterChild() // first of all: it may become another program
	// The log's reader may go, or read no further: neither may end a replica or hold it up.
	signal.Ignore(syscall.SIGPIPE)
	log := asynclog.New(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, log)
	stop()
	log.Close(logFlush)
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
	var f failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitUsage // cobra's own errors are of usage: an unknown command or flag, a missing argument
}

// globals are the flags that every subcommand shares.
type globals struct {
	logFormat, logLevel string
	stderr              io.Writer
}

// logger is the one logger passed down; its keys are stable: component, node, revision, term, lease, request.
func (g *globals) logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(g.logLevel)); err != nil {
		return nil, usage(fmt.Errorf("--log-level: %w", err))
	}
	opts := &slog.HandlerOptions{Level: level}
	switch g.logFormat {
	case "json":
		return slog.New(slog.NewJSONHandler(g.stderr, opts)), nil
	case "text":
		return slog.New(slog.NewTextHandler(g.stderr, opts)), nil
	}
	return nil, usage(fmt.Errorf("--log-format: %q is neither json nor text", g.logFormat))
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	g := &globals{stderr: stderr}
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
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
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
