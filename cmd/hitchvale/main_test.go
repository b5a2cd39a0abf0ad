package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hitchvale/internal/durable"
	"hitchvale/internal/registry"
)

// The exit code is 0 for success, and 2 for a bad flag, command or file, with the reason on standard error. Scripts
// rely on these codes.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nnodes = 1\nbackends = 1\nnodse = 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		code   int
		stderr string // text that standard error must contain
	}{
		{[]string{"version"}, 0, ""},
		{[]string{"--no-such-flag"}, 2, "unknown flag"},
		{[]string{"no-such-command"}, 2, "unknown command"},
		{[]string{"lab", "check", bad}, 2, `line 4: unknown key "nodse"`},
		{[]string{"lab", "check", filepath.Join(dir, "missing.toml")}, 2, "no such file"},
		{[]string{"registry", "serve", "--config", bad}, 2, "unknown key"},
		{[]string{"lab", "run", bad, "--log-format", "yaml"}, 2, "--log-format"},
	} {
		var stdout, stderr bytes.Buffer
		code := run(context.Background(), c.args, &stdout, &stderr)
		if code != c.code || !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%v: exit code %d, standard error %q; want %d, %q", c.args, code, stderr.String(), c.code, c.stderr)
		}
	}
}

// If the newest snapshot has a flipped bit, recover check names the file and exits with 1. recover repair rewrites the
// manifest from the older snapshot, and recover check then succeeds.
func TestRecoverChecksAndRepairs(t *testing.T) {
	dir := t.TempDir()
	store := durable.SnapshotStore{FS: durable.OSFS{}, Dir: filepath.Join(dir, registry.SnapshotDir), Keep: 2}
	os.MkdirAll(store.Dir, 0o755)
	for rev := int64(1); rev <= 2; rev++ {
		if err := store.Write(rev, []byte(strings.Repeat("state;", 50))); err != nil {
			t.Fatal(err)
		}
	}
	newest := filepath.Join(store.Dir, "snap-00000000000000000002.bin")
	text, _ := os.ReadFile(newest)
	text[len(text)-5] ^= 1
	os.WriteFile(newest, text, 0o644)
	for _, c := range []struct {
		verb   string
		code   int
		output string // text that the output must contain
	}{
		{"check", 1, "snap-00000000000000000002.bin"},
		{"repair", 0, `"repaired":true`},
		{"check", 0, `"revision":1`},
	} {
		var stdout, stderr bytes.Buffer
		if code := run(context.Background(), []string{"recover", c.verb, dir}, &stdout, &stderr); code != c.code ||
			!strings.Contains(stdout.String()+stderr.String(), c.output) {
			t.Fatalf("recover %s: exit code %d, output %s %s; want %d, %q", c.verb, code, stdout.String(), stderr.String(),
				c.code, c.output)
		}
	}
}
