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

// An instant keeps its monotonic reading on the way to a time.Time and back.
func TestInstantKeepsTheMonotonicReading(t *testing.T) {
	now := time.Now()
	i := At(now).Add(time.Minute)
	if i.IsZero() || !(Instant(0)).IsZero() {
		t.Error("zero is no instant, and nothing else is zero")
	}
	if got := i.Time(); got.Sub(now) != time.Minute || !strings.Contains(got.String(), " m=") {
		t.Errorf("%v is %v after %v", got, got.Sub(now), now)
	}
	if At(i.Time()) != i {
		t.Errorf("%v came back as %v", i, At(i.Time()))
	}
}

// wallClockFiles may turn times into figures of the wall clock: what they tell goes to other machines or comes from
// them.
var wallClockFiles = map[string]bool{"internal/node/wallclock.go": true}

// wallClockCalls are what loses the monotonic reading of a time.
var wallClockCalls = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Round": true, "Truncate": true}

// wallClockPackages are those that serve nobody: they play experiments, or truncate durations only.
var wallClockPackages = map[string]bool{"lab": true, "monotime": true, "sysfault": true, "timeline": true}

// No span of time in the packages that serve is kept as a figure of the wall clock.
func TestSpansAreKeptOffTheWallClock(t *testing.T) {
	checked := map[string]bool{} // by the first folder below internal
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		name, _ := filepath.Rel("..", path)
		folder, _, _ := strings.Cut(filepath.ToSlash(name), "/")
		name = "internal/" + filepath.ToSlash(name)
		switch {
		case err != nil:
			return err
		case wallClockPackages[folder] || wallClockFiles[name]:
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

// isMath tells math.Round from a time's.
func isMath(sel *ast.SelectorExpr) bool {
	x, ok := sel.X.(*ast.Ident)
	return ok && x.Name == "math"
}
