package lab

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// An output folder that is not empty is rejected, because the checks would read the logs of another run in it.
func TestOutputFolderOfAnotherRunIsRejected(t *testing.T) {
	out := t.TempDir()
	if err := os.WriteFile(filepath.Join(out, "backend-0.runs"), []byte("{}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	c, err := newCluster(Options{Out: out}, 1)
	if err == nil {
		c.close()
	}
	if !errors.Is(err, os.ErrExist) {
		t.Errorf("error %v, want os.ErrExist", err)
	}
}
