package soak_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/soak"
)

// Whoever reads a settings file that is written again and again finds it whole, and nothing else is left beside it.
func TestSettingsAreWholeForWhoReadsThemMeanwhile(t *testing.T) {
	is := is.New(t)
	const writes = 500
	file := filepath.Join(t.TempDir(), "settings.json")
	settings := map[string]string{"name": strings.Repeat("n", 10000)}
	is.NoErr(soak.WriteSettings(file, settings))
	written := make(chan error, 1)
	go func() {
		var err error
		for n := 0; n < writes && err == nil; n++ {
			err = soak.WriteSettings(file, settings)
		}
		written <- err
	}()
	for {
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		var read map[string]string
		is.NoErr(json.Unmarshal(raw, &read))
		is.Equal(read, settings)
		select {
		case err := <-written:
			is.NoErr(err)
			all, err := os.ReadDir(filepath.Dir(file))
			is.NoErr(err)
			is.Equal(len(all), 1)
			return
		default:
		}
	}
}
