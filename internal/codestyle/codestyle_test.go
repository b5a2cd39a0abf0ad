// Package codestyle_test checks rules that gofmt, vet and staticcheck don't check: the length of lines and functions,
// at most one field and one constant per line, and a doc comment on each exported name.
package codestyle_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxLineLength     = 120 // runes; a tab counts as one rune
	maxFunctionLength = 60  // lines, including the signature and the closing brace
)

// exemptPackages are the directories whose code does not follow these rules yet (docs/ROADMAP.md).
var exemptPackages = map[string]bool{}

// All source files of the repository follow the rules. Test files are not checked.
func TestCodeStyle(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		switch {
		case entry.IsDir() && (strings.HasPrefix(entry.Name(), ".") && name != "." || name == "journal" || name == "logs"):
			return filepath.SkipDir
		case !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		case exemptPackages[filepath.ToSlash(filepath.Dir(name))]:
			return nil
		}
		files++
		checkFile(t, name, path)
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files checked, error %v", files, err)
	}
}

// checkFile checks one source file.
func checkFile(t *testing.T, name, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if n := utf8.RuneCountInString(line); n > maxLineLength {
			t.Errorf("%s:%d: line of %d characters, %d are allowed", name, i+1, n, maxLineLength)
		}
	}
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, name, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	report := func(node ast.Node, format string, args ...any) {
		t.Helper()
		t.Errorf("%s: "+format, append([]any{positions.Position(node.Pos())}, args...)...)
	}
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			lines := positions.Position(decl.End()).Line - positions.Position(decl.Pos()).Line + 1
			if lines > maxFunctionLength {
				report(decl, "%s has %d lines, %d are allowed", decl.Name.Name, lines, maxFunctionLength)
			}
			if decl.Doc == nil && decl.Name.IsExported() && hasExportedReceiver(decl) {
				report(decl, "%s has no doc comment", decl.Name.Name)
			}
		case *ast.GenDecl:
			checkDeclaration(decl, report)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if structure, ok := node.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				if len(field.Names) > 1 {
					report(field, "%d fields on one line", len(field.Names))
				}
			}
		}
		return true
	})
}

// checkDeclaration checks a declaration of constants, variables or types. The doc comment of a group applies to each
// name in the group.
func checkDeclaration(decl *ast.GenDecl, report func(ast.Node, string, ...any)) {
	for _, spec := range decl.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Name.IsExported() && decl.Doc == nil && spec.Doc == nil {
				report(spec, "%s has no doc comment", spec.Name.Name)
			}
		case *ast.ValueSpec:
			if decl.Tok == token.CONST && len(spec.Names) > 1 {
				report(spec, "%d constants on one line", len(spec.Names))
			}
			if spec.Names[0].IsExported() && decl.Doc == nil && spec.Doc == nil && spec.Comment == nil {
				report(spec, "%s has no doc comment", spec.Names[0].Name)
			}
		}
	}
}

// hasExportedReceiver reports whether a declaration is a method of an exported type or a function without a receiver.
func hasExportedReceiver(decl *ast.FuncDecl) bool {
	if decl.Recv == nil {
		return true
	}
	receiver := decl.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}
