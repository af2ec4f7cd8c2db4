package fail

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/transcript"
)

// The page is the table: it cannot drift.
func TestCodesPageIsTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery error has a number that never changes its meaning. Callers find it in the header `X-Result-Code` and in the body\n" +
		"(`error.number`), and in `X-Ran` what is known of their request: `no` is a promise, `unknown` is not.\nMade from `fail/fail.go` by `go test ./fail -approve`.\n\n" +
		"| number | name | HTTP status | ran | meaning |\n|---|---|---|---|---|\n")
	for _, c := range Codes() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", c.Number, c.Name, c.Status, c.Ran, c.Text)
	}
	transcript.Approve(t, "../docs/codes.md", b.String())
}

func TestWrapKeepsTheFirstCodeAndGivesAllWords(t *testing.T) {
	is := is.New(t)
	inner := New(Dangling, "no pool %q", "x")
	inner.Field, inner.At = "paths[0].pool", 17
	outer := Wrap(inner, Malformed, "blueprint")
	is.True(Is(outer, Dangling))
	is.Equal(outer.Error(), `104 dangling_reference at paths[0].pool (byte 17): blueprint: no pool "x"`)
	back := FromBody(ToBody(outer), 400)
	is.True(Is(back, Dangling))
	is.Equal(Of(back).At, 17)
	is.Equal(Of(errors.New("plain")).Code.Number, Internal.Number)
	is.NoErr(Wrap(nil, Malformed, "nothing"))
}
