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
		code := run(context.Background(), c.args, &out, &errs)
		if code != c.code || !strings.Contains(errs.String(), c.says) {
			t.Errorf("%v: exit %d, said %q", c.args, code, errs.String())
		}
	}
}

// recover check finds a flipped bit in the newest snapshot (exit 1, file named), repair rewrites the manifest from
// the older one, and check then passes.
func TestRecoverChecksAndRepairs(t *testing.T) {
	dir := t.TempDir()
	s := durable.SnapshotStore{FS: durable.OSFS{}, Dir: filepath.Join(dir, registry.SnapshotDir), Keep: 2}
	os.MkdirAll(s.Dir, 0o755)
	for rev := int64(1); rev <= 2; rev++ {
		if err := s.Write(rev, []byte(strings.Repeat("state;", 50))); err != nil {
			t.Fatal(err)
		}
	}
	newest := filepath.Join(s.Dir, "snap-00000000000000000002.bin")
	text, _ := os.ReadFile(newest)
	text[len(text)-5] ^= 1
	os.WriteFile(newest, text, 0o644)
	for _, c := range []struct {
		verb string
		code int
		says string
	}{
		{"check", 1, "snap-00000000000000000002.bin"},
		{"repair", 0, `"repaired":true`},
		{"check", 0, `"revision":1`},
	} {
		var out, errs bytes.Buffer
		if code := run(context.Background(), []string{"recover", c.verb, dir}, &out, &errs); code != c.code ||
			!strings.Contains(out.String()+errs.String(), c.says) {
			t.Fatalf("recover %s: exit %d, said %s %s", c.verb, code, out.String(), errs.String())
		}
	}
}
