package golden

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"unicode"

	"github.com/matryer/is"
)

var (
	withdrawnRow = regexp.MustCompile("(?m)^\\| (\x60[^|]*) \\|")
	quoted       = regexp.MustCompile("\x60([^\x60]+)\x60")
	words        = regexp.MustCompile("[A-Za-z]+")
)

// withdrawnWords reads the table of docs/glossary.md.
func withdrawnWords(t *testing.T) map[string]bool {
	withdrawn := map[string]bool{}
	for _, row := range withdrawnRow.FindAllStringSubmatch(sources(t, "glossary.md")["../docs/glossary.md"], -1) {
		for _, word := range quoted.FindAllStringSubmatch(row[1], -1) {
			withdrawn[word[1]] = true
		}
	}
	is.New(t).True(len(withdrawn) > 15) // the table was read
	return withdrawn
}

// staying reads what a line of docs/glossary.md lets stay.
func staying(t *testing.T, beginning string) (all []string) {
	_, line, _ := strings.Cut(sources(t, "glossary.md")["../docs/glossary.md"], "\n"+beginning)
	line, _, _ = strings.Cut(line, "\n")
	for _, name := range quoted.FindAllStringSubmatch(line, -1) {
		all = append(all, name[1])
	}
	is.New(t).True(len(all) > 5) // the line was read
	return all
}

// parts cuts a name at its capitals.
func parts(name string) (all []string) {
	begin := 0
	for i, letter := range name {
		if i > begin && unicode.IsUpper(letter) && !unicode.IsUpper(rune(name[i-1])) {
			all, begin = append(all, name[begin:i]), i
		}
	}
	return append(all, name[begin:])
}

// withdrawnIn gives the withdrawn words of a text with their lines, apart from what may stay.
func withdrawnIn(text string, withdrawn map[string]bool, stays []string) (found []string) {
	for _, kept := range stays {
		text = strings.ReplaceAll(text, kept, "")
	}
	number := 0
	for line := range strings.Lines(text) {
		number++
		for _, name := range words.FindAllString(line, -1) {
			for _, part := range parts(name) {
				if withdrawn[strings.ToLower(part)] {
					found = append(found, fmt.Sprintf("line %d: %s", number, name))
				}
			}
		}
	}
	return found
}

// The words of the earlier house style don't come back, in sources and in pages.
func TestWithdrawnWordsStayAway(t *testing.T) {
	withdrawn := withdrawnWords(t)
	inSources := staying(t, "In sources stay ")
	read := 0
	for path, text := range sources(t, ".go") {
		if strings.HasSuffix(path, ".gen.go") {
			continue // made from the schema, which has the headers' names
		}
		read++
		for _, word := range withdrawnIn(text, withdrawn, inSources) {
			t.Errorf("%s, %s is withdrawn; docs/glossary.md has its standard term", path, word)
		}
	}
	is.New(t).True(read > 100)
	var inPages []string
	for _, kept := range staying(t, "In pages stay ") {
		if words.FindString(kept) == kept {
			kept = "\x60" + kept + "\x60" // one word stays as a name alone
		}
		inPages = append(inPages, kept)
	}
	for path, text := range sources(t, ".md") {
		if path == "../docs/glossary.md" {
			continue
		}
		for _, word := range withdrawnIn(text, withdrawn, inPages) {
			t.Errorf("%s, %s is withdrawn; docs/glossary.md has its standard term", path, word)
		}
	}
}

// The check finds what it looks for, in names, comments and strings, and lets other words be.
func TestWithdrawnWordsAreFound(t *testing.T) {
	is := is.New(t)
	is.Equal(parts("newThingHTTPOptions"), []string{"new", "Thing", "HTTPOptions"})
	text := "// a thing\nfunc newThing(oneThing int) { log(\"X-Things something\", \"it thinged\") }\n"
	withdrawn := map[string]bool{"thing": true, "things": true, "thinged": true}
	is.Equal(withdrawnIn(text, withdrawn, []string{"X-Things"}), []string{"line 1: thing", "line 2: newThing", "line 2: oneThing", "line 2: thinged"})
}
