// Package golden compares what tests wrote down with the approved text (docs/design.md §8).
package golden

import (
	"flag"
	"os"
	"testing"
)

var approving = flag.Bool("approve", false, "write the approved texts anew")

// Compare compares a text with the approved file; with -approve it writes the file.
func Compare(t *testing.T, path, text string) {
	t.Helper()
	if *approving {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != text {
		t.Errorf("%s differs; read it, then go test -approve.\nhas:\n%s\nwants:\n%s", path, text, want)
	}
}
