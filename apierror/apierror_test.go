package apierror

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/golden"
)

// docs/codes.md lists exactly the codes of the table.
func TestCodesPageIsTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery error has a number that never changes its meaning. Callers find it in the header `X-Result-Code` and in the body\n" +
		"(`error.number`), and in `X-Ran` what is known of their request: `no` is a promise, `unknown` is not.\nMade from `apierror/apierror.go` by `go test ./apierror -approve`.\n\n" +
		"The last column says whether some test brings the code about.\n\n" +
		"| number | name | HTTP status | ran | meaning | tested |\n|---|---|---|---|---|---|\n")
	tests, names := testTexts(t), goNames(t)
	for _, c := range Codes() {
		isTested := "no"
		if regexp.MustCompile(fmt.Sprintf(`"number":%d\b|\b%d %s\b|"%d"|Code == %d\b|code %d\b|apierror\.%s\b|"\d{3} %d (no|yes|unknown)"`,
			c.Number, c.Number, c.Name, c.Number, c.Number, c.Number, names[fmt.Sprint(c.Number)], c.Number)).MatchString(tests) {
			isTested = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n", c.Number, c.Name, c.Status, c.Executed, c.Text, isTested)
	}
	golden.Compare(t, "../docs/codes.md", b.String())
}

// Wrap keeps the innermost code, field and position, and the text has the messages of all layers.
func TestWrapKeepsInnermostCodeAndAllMessages(t *testing.T) {
	is := is.New(t)
	inner := New(Dangling, "no pool %q", "x")
	inner.Field, inner.At = "paths[0].pool", 17
	outer := Wrap(inner, Malformed, "configuration")
	is.True(Is(outer, Dangling))
	is.Equal(outer.Error(), `104 dangling_reference at paths[0].pool (byte 17): configuration: no pool "x"`)
	back := FromBody(ToBody(outer), 400)
	is.True(Is(back, Dangling))
	is.Equal(Of(back).At, 17)
	is.Equal(Of(errors.New("plain")).Code.Number, Internal.Number)
	is.NoErr(Wrap(nil, Malformed, "nothing"))
}

// testTexts returns the contents of all golden files and all test files except this one and check_test.go.
func testTexts(t *testing.T) string {
	var all strings.Builder
	for _, pattern := range []string{"../*/testdata/*.txt", "../cmd/*/testdata/*.txt", "../*/*_test.go", "../cmd/*/*_test.go"} {
		paths, err := filepath.Glob(pattern)
		is.New(t).NoErr(err)
		for _, path := range paths {
			if filepath.Base(path) != "apierror_test.go" && filepath.Base(path) != "check_test.go" {
				raw, err := os.ReadFile(path)
				is.New(t).NoErr(err)
				all.Write(raw)
			}
		}
	}
	return all.String()
}

// goNames reads the codes' Go names, by number, from the source of the table.
func goNames(t *testing.T) map[string]string {
	raw, err := os.ReadFile("apierror.go")
	is.New(t).NoErr(err)
	names := map[string]string{}
	for _, m := range regexp.MustCompile(`(\w+) += code\((\d+),`).FindAllStringSubmatch(string(raw), -1) {
		names[m[2]] = m[1]
	}
	return names
}
