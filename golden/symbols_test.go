package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"

	"github.com/matryer/is"
)

// pagesOfRecord tell what was measured and met with earlier builds, in the names of their time.
var pagesOfRecord = []string{"results.md", "incidents.md"}

// declaredNames gives what each package of ours declares: top-level names, and Type.Member for methods and fields.
func declaredNames(t *testing.T) map[string]map[string]bool {
	t.Helper()
	packages := map[string]map[string]bool{}
	for path, text := range sources(t, ".go") {
		folder := filepath.Base(filepath.Dir(path))
		if strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../cmd/") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
		is.New(t).NoErr(err)
		if packages[folder] == nil {
			packages[folder] = map[string]bool{}
		}
		for _, declaration := range file.Decls {
			addNames(packages[folder], declaration)
		}
	}
	return packages
}

func addNames(names map[string]bool, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			names[d.Name.Name] = true
			return
		}
		names[receiverName(d.Recv.List[0].Type)+"."+d.Name.Name] = true
		names[d.Name.Name] = true // pages name a package's only method of a name without its type
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[name.Name] = true
				}
			case *ast.TypeSpec:
				names[s.Name.Name] = true
				addMembers(names, s)
			}
		}
	}
}

// addMembers adds the fields of a struct and the methods of an interface.
func addMembers(names map[string]bool, s *ast.TypeSpec) {
	var members *ast.FieldList
	switch kind := s.Type.(type) {
	case *ast.StructType:
		members = kind.Fields
	case *ast.InterfaceType:
		members = kind.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			names[s.Name.Name+"."+name.Name] = true
		}
	}
}

func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.IndexListExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

var qualifiedName = regexp.MustCompile("\x60([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)\x60")

var memberName = regexp.MustCompile("\x60([A-Z][A-Za-z]+)\\.([A-Za-z]+)\x60")

// otherPackages are the packages besides ours whose names stand on pages. A name of any other package is one of a package that we had.
var otherPackages = []string{"fmt", "http", "time"}

// missingNames returns the back-quoted names of our packages, and of members of our types, that a page has and the packages have not.
func missingNames(text string, packages map[string]map[string]bool) (missing []string) {
	all := map[string]bool{}
	for _, names := range packages {
		for name := range names {
			all[name] = true
		}
	}
	for _, found := range memberName.FindAllStringSubmatch(text, -1) {
		if name := found[1] + "." + found[2]; all[found[1]] && !all[name] {
			missing = append(missing, name)
		}
	}
	for _, found := range qualifiedName.FindAllStringSubmatch(text, -1) {
		names, ours := packages[found[1]]
		exported := unicode.IsUpper(rune(found[2][0]))
		if ours && !names[found[2]] || !ours && exported && !slices.Contains(otherPackages, found[1]) {
			missing = append(missing, found[1]+"."+found[2])
		}
	}
	return missing
}

// The pages name what the code has.
func TestPagesNameWhatTheCodeHas(t *testing.T) {
	packages := declaredNames(t)
	is.New(t).True(len(packages) > 20)
	checked := 0
	for path, text := range sources(t, ".md") {
		if strings.Contains(path, "journal") || slices.Contains(pagesOfRecord, filepath.Base(path)) {
			continue
		}
		checked += len(qualifiedName.FindAllString(text, -1))
		for _, name := range missingNames(text, packages) {
			t.Errorf("%s names %s, which is not there", path, name)
		}
	}
	is.New(t).True(checked > 50)
}

// The check finds a name that is gone, and lets others be.
func TestMissingNamesAreFound(t *testing.T) {
	is := is.New(t)
	packages := map[string]map[string]bool{"lease": {"Grant": true, "Grant.Version": true}}
	is.Equal(missingNames("`lease.Grant`, `lease.Grant.Version` and `http.Client`", packages), nil)
	is.Equal(missingNames("`hold.Table`, `hold.cap_ms`", packages), []string{"hold.Table"})
	is.Equal(missingNames("`lease.Term` and `lease.Grant.Term`", packages), []string{"lease.Term", "lease.Grant.Term"})
	is.Equal(missingNames("`Grant.Version`, `Grant.Term` and `Client.Term`", packages), []string{"Grant.Term"})
}
