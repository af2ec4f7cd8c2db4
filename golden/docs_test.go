package golden

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sources gives the text of all files below the project's root with an ending.
func sources(t *testing.T, ending string) map[string]string {
	all := map[string]string{}
	is.New(t).NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ending) {
			return err
		}
		raw, err := os.ReadFile(path)
		all[path] = string(raw)
		return err
	}))
	return all
}

// Comments cite sections of the design page that are there.
func TestCitedSectionsExist(t *testing.T) {
	design := sources(t, "design.md")["../docs/design.md"]
	for path, text := range sources(t, ".go") {
		for _, cited := range regexp.MustCompile(`§(\d+(?:\.\d+)?)`).FindAllStringSubmatch(text, -1) {
			if !regexp.MustCompile(`(?m)^##+ ` + regexp.QuoteMeta(cited[1]) + `\.? `).MatchString(design) {
				t.Errorf("%s cites §%s, which docs/design.md has not", path, cited[1])
			}
		}
	}
}

// The proof page names tests, scripts and pages that are there.
func TestProofPageNamesWhatExists(t *testing.T) {
	proof := sources(t, "proof.md")["../docs/proof.md"]
	var tests, scripts strings.Builder
	for path, text := range sources(t, ".go") {
		if strings.HasSuffix(path, "_test.go") {
			tests.WriteString(text)
		}
		if strings.HasPrefix(path, "../cmd/localfleet/") {
			scripts.WriteString(text)
		}
	}
	named := regexp.MustCompile("`(Test[A-Za-z0-9]+)`").FindAllStringSubmatch(proof, -1)
	is.New(t).True(len(named) > 40)
	for _, name := range named {
		if !strings.Contains(tests.String(), "func "+name[1]+"(t ") {
			t.Errorf("there is no test %s", name[1])
		}
	}
	for _, list := range regexp.MustCompile("localfleet ((?:`[a-z-]+`(?:, )?)+)").FindAllStringSubmatch(proof, -1) {
		for _, name := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(list[1], -1) {
			if !strings.Contains(scripts.String(), `{"`+name[1]+`", "`) {
				t.Errorf("fleet has no script %s", name[1])
			}
		}
	}
}
