// Package codestyle_test checks what gofmt, vet and staticcheck don't: the length of lines and functions, one field and one
// constant a line, and a doc comment on each exported name.
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
	maxLineLength     = 120 // runes; a tab counts as one
	maxFunctionLength = 60  // lines, with the signature and the closing brace
)

// unfinishedPackages are those whose code has not been brought to these rules yet (docs/ROADMAP.md).
var unfinishedPackages = map[string]bool{
	"internal/siteconfig": true,
	"internal/tomlfile":   true,
}

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
		case unfinishedPackages[filepath.ToSlash(filepath.Dir(name))]:
			return nil
		}
		files++
		checkFile(t, name, path)
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files, %v", files, err)
	}
}

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
	complain := func(node ast.Node, format string, args ...any) {
		t.Helper()
		t.Errorf("%s: "+format, append([]any{positions.Position(node.Pos())}, args...)...)
	}
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			lines := positions.Position(decl.End()).Line - positions.Position(decl.Pos()).Line + 1
			if lines > maxFunctionLength {
				complain(decl, "%s has %d lines, %d are allowed", decl.Name.Name, lines, maxFunctionLength)
			}
			if decl.Doc == nil && decl.Name.IsExported() && hasExportedReceiver(decl) {
				complain(decl, "%s has no doc comment", decl.Name.Name)
			}
		case *ast.GenDecl:
			checkDeclaration(decl, complain)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if structure, ok := node.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				if len(field.Names) > 1 {
					complain(field, "%d fields on one line", len(field.Names))
				}
			}
		}
		return true
	})
}

// checkDeclaration checks a declaration of constants, variables or types. A group's doc comment stands for its members.
func checkDeclaration(decl *ast.GenDecl, complain func(ast.Node, string, ...any)) {
	for _, spec := range decl.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Name.IsExported() && decl.Doc == nil && spec.Doc == nil {
				complain(spec, "%s has no doc comment", spec.Name.Name)
			}
		case *ast.ValueSpec:
			if decl.Tok == token.CONST && len(spec.Names) > 1 {
				complain(spec, "%d constants on one line", len(spec.Names))
			}
			if spec.Names[0].IsExported() && decl.Doc == nil && spec.Doc == nil && spec.Comment == nil {
				complain(spec, "%s has no doc comment", spec.Names[0].Name)
			}
		}
	}
}

// hasExportedReceiver tells whether a function is one, or a method of an exported type.
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
