package golden

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// maxFunctionLines bounds the functions of the product and of its tools. Tests that tell a long story may be longer.
const maxFunctionLines = 60

// undocumentedMethods are those whose meaning the language's interfaces give.
var undocumentedMethods = map[string]bool{"Error": true, "Unwrap": true, "String": true}

// complaints lists what staticcheck leaves of a file: long functions, exported names without a comment, and values that are dropped without
// a word on why that is safe.
func complaints(path, text string) (all []string) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, parser.ParseComments)
	if err != nil {
		return []string{err.Error()}
	}
	complain := func(at token.Pos, format string, args ...any) {
		all = append(all, fmt.Sprintf("%s:%d: ", path, files.Position(at).Line)+fmt.Sprintf(format, args...))
	}
	commented := map[int]bool{}
	for _, group := range file.Comments {
		for _, comment := range group.List {
			commented[files.Position(comment.Pos()).Line] = true
			commented[files.Position(comment.End()).Line] = true
		}
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			checkDeclaration(declaration.(*ast.GenDecl), complain)
			continue
		}
		if lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1; lines > maxFunctionLines {
			complain(function.Pos(), "%s has %d lines", function.Name.Name, lines)
		}
		if function.Doc == nil && function.Name.IsExported() && !undocumentedMethods[function.Name.Name] {
			complain(function.Pos(), "%s has no comment", function.Name.Name)
		}
		checkDropped(function, func(statement ast.Node) {
			if line := files.Position(statement.Pos()).Line; !commented[line] && !commented[line-1] {
				complain(statement.Pos(), "a value is dropped without a word on why that is safe")
			}
		})
	}
	return all
}

// checkDeclaration wants a comment on exported types, and on exported variables and constants or their group.
func checkDeclaration(declaration *ast.GenDecl, complain func(at token.Pos, format string, args ...any)) {
	for _, spec := range declaration.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && declaration.Doc == nil && s.Doc == nil {
				complain(s.Pos(), "%s has no comment", s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Names[0].IsExported() && declaration.Doc == nil && s.Doc == nil && s.Comment == nil {
				complain(s.Pos(), "%s has no comment", s.Names[0].Name)
			}
		}
	}
}

// checkDropped finds assignments whose left side is blank alone.
func checkDropped(function *ast.FuncDecl, found func(statement ast.Node)) {
	ast.Inspect(function, func(node ast.Node) bool {
		assignment, ok := node.(*ast.AssignStmt)
		if !ok {
			return true
		}
		for _, left := range assignment.Lhs {
			if name, ok := left.(*ast.Ident); !ok || name.Name != "_" {
				return true
			}
		}
		found(assignment)
		return true
	})
}

// The product and its tools keep what the linter does not look for.
func TestSourcesAreReadable(t *testing.T) {
	read := 0
	for path, text := range sources(t, ".go") {
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".gen.go") {
			continue
		}
		read++
		for _, complaint := range complaints(path, text) {
			t.Error(complaint)
		}
	}
	is.New(t).True(read > 100)
}

// The check finds what it looks for.
func TestComplaintsAreFound(t *testing.T) {
	is := is.New(t)
	text := "package p\n\nfunc Bare() {\n\t_ = f()\n\t_ = f() // it cannot fail\n}\n\ntype T struct{}\n\n// C is a count.\nconst C = 1\n\nvar V = 1\n"
	is.Equal(complaints("p.go", text), []string{"p.go:3: Bare has no comment", "p.go:4: a value is dropped without a word on why that is safe",
		"p.go:8: T has no comment", "p.go:13: V has no comment"})
	long := "package p\n\nfunc long() {\n" + strings.Repeat("\tf()\n", maxFunctionLines) + "}\n"
	is.Equal(complaints("p.go", long), []string{"p.go:3: long has 62 lines"})
}
