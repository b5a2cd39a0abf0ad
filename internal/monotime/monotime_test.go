package monotime

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// An instant that is converted to a time.Time and back keeps its monotonic reading.
func TestInstantKeepsTheMonotonicReading(t *testing.T) {
	now := time.Now()
	i := At(now).Add(time.Minute)
	if i.IsZero() || !(Instant(0)).IsZero() {
		t.Error("IsZero must be true for the zero Instant and false for any other Instant")
	}
	if got := i.Time(); got.Sub(now) != time.Minute || !strings.Contains(got.String(), " m=") {
		t.Errorf("%v is %v after %v", got, got.Sub(now), now)
	}
	if At(i.Time()) != i {
		t.Errorf("instant %v is %v after the conversion to a time and back", i, At(i.Time()))
	}
}

// wallClockFiles may convert times to numbers of the wall clock, because they exchange times with other machines.
var wallClockFiles = map[string]bool{"internal/node/wallclock.go": true}

// wallClockCalls are the methods that lose the monotonic reading of a time.
var wallClockCalls = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Round": true, "Truncate": true}

// uncheckedPackages are not checked. They serve no requests: they run experiments, or only truncate durations.
var uncheckedPackages = map[string]bool{"lab": true, "monotime": true, "sysfault": true, "timeline": true}

// The packages that serve requests must not store a time as a number of the wall clock, because a step of the wall
// clock would then change the durations computed from it.
func TestTimesKeepTheirMonotonicReading(t *testing.T) {
	checked := map[string]bool{} // keyed by the first folder below internal
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		name, _ := filepath.Rel("..", path)
		folder, _, _ := strings.Cut(filepath.ToSlash(name), "/")
		name = "internal/" + filepath.ToSlash(name)
		switch {
		case err != nil:
			return err
		case uncheckedPackages[folder] || wallClockFiles[name]:
			return nil
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			checked[folder] = true
			checkFile(t, name, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"accept", "admin", "fleet", "lease", "lograte", "maintenance", "node", "registry"} {
		if !checked[folder] {
			t.Errorf("no file of %s was checked", folder)
		}
	}
}

// checkFile reports the calls of wallClockCalls in a file.
func checkFile(t *testing.T, name, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	positions := token.NewFileSet()
	parsed, err := parser.ParseFile(positions, name, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if sel, ok := call.Fun.(*ast.SelectorExpr); ok && wallClockCalls[sel.Sel.Name] && !isMath(sel) {
			t.Errorf("%s: %s loses the monotonic reading: use package monotime", positions.Position(call.Pos()), sel.Sel.Name)
		}
		return true
	})
}

// isMath reports whether a selector is of package math, such as math.Round.
func isMath(sel *ast.SelectorExpr) bool {
	x, ok := sel.X.(*ast.Ident)
	return ok && x.Name == "math"
}
