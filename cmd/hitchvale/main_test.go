package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Scripts rely on the exit codes: 0 ok, 2 for a bad flag, command or file, with the reason on standard error.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nnodes = 1\nbackends = 1\nnodse = 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"version"}, 0, ""},
		{[]string{"--no-such-flag"}, 2, "unknown flag"},
		{[]string{"no-such-command"}, 2, "unknown command"},
		{[]string{"lab", "check", bad}, 2, `line 4: unknown key "nodse"`},
		{[]string{"lab", "check", filepath.Join(dir, "missing.toml")}, 2, "no such file"},
		{[]string{"registry", "serve", "--config", bad}, 2, "unknown key"},
		{[]string{"lab", "run", bad, "--log-format", "yaml"}, 2, "--log-format"},
	} {
		var out, errs bytes.Buffer
		if code := run(context.Background(), c.args, &out, &errs); code != c.code || !strings.Contains(errs.String(), c.says) {
			t.Errorf("%v: exit %d, said %q", c.args, code, errs.String())
		}
	}
}
