package lab

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A verdict never comes from another run's logs: a folder that holds anything is refused.
func TestOutputOfAnotherRunIsRefused(t *testing.T) {
	out := t.TempDir()
	if err := os.WriteFile(filepath.Join(out, "backend-0.runs"), []byte("{}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	c, err := newCluster(Options{Out: out}, 1)
	if err == nil {
		c.close()
	}
	if !errors.Is(err, os.ErrExist) {
		t.Errorf("got %v", err)
	}
}
