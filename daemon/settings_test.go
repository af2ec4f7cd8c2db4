package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/golden"
)

// Each invalid flag or setting is reported in one line that names it.
func TestSettingsAreReadOrRejectedAsRecorded(t *testing.T) {
	folder := t.TempDir()
	file := func(text string) string {
		path := filepath.Join(folder, "settings.json")
		is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o644))
		return path
	}
	good := `{"name":"core-1","zone":"z","address":"10.0.0.1:7000","seeds":"10.0.0.2:7000, 10.0.0.3:7000"}`
	var out strings.Builder
	for _, c := range []struct {
		file string
		args []string
	}{
		{good, nil}, {good, []string{"-zone", "other"}}, {"", nil}, {`{"name":`, nil}, {`{"colour":"red"}`, nil}, {`{"name":"a","name":"b"}`, nil}, {`{"name":["a"]}`, nil},
		{good, []string{"-address", "host:7000"}}, {good, []string{"-address", "10.0.0.1:70000"}}, {good, []string{"-address", "10.0.0.1"}},
		{good, []string{"-seeds", "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1,1.1.1.4:1"}}, {good, []string{"-seeds", "here"}}, {good, []string{"-log", "loud"}},
		{good, []string{"-slots", "0"}}, {`{"slots":"many"}`, nil}, {good, []string{"-listen", "10.0.0.1"}}, {good, []string{"-wrong"}}, {good, []string{"more"}},
	} {
		s := NewSettings("core", "for a test")
		slots := s.Integer("slots", 5, 1, 10, "slots")
		s.Require("name", "zone", "address")
		args := c.args
		if c.file != "" {
			args = append([]string{"-settings", file(c.file)}, args...)
		}
		err := s.Read(args)
		fmt.Fprintf(&out, "%s %q\n", c.file, c.args)
		if err != nil {
			fmt.Fprintf(&out, "  %v\n", err)
		} else {
			fmt.Fprintf(&out, "  name %s, zone %s, address %s, seeds %v, slots %d\n", s.Host.Name, s.Host.Zone, s.Host.Address, s.Host.Seeds, *slots)
		}
	}
	golden.Compare(t, "testdata/settings.txt", out.String())
}

// The settings files under examples/ pass the checks of the daemons.
func TestExampleSettingsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*/settings/*.json")
	is.NoErr(err)
	is.Equal(len(files), 6)
	for _, path := range files {
		s := NewSettings("any", "for a test")
		s.Text("data", "", "")
		s.Address("local", "")
		s.Address("agent", "")
		s.Address("admin", "")
		s.Integer("grace_ms", 0, 0, 600000, "")
		s.Require("name", "zone", "address")
		is.NoErr(s.Read([]string{"-settings", path}))
	}
}
