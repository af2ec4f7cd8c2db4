package daemon

import (
	"os"
	"path/filepath"
	"testing"
)

// Any content of a settings file is either accepted with valid values or rejected with an error message.
func FuzzSettingsFile(f *testing.F) {
	f.Add([]byte(`{"name":"core-1","zone":"z","address":"10.0.0.1:7000","seeds":"10.0.0.2:7000, 10.0.0.3:7000","slots":3}`))
	f.Add([]byte(`{"name":["a"],"slots":"many","log":true}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
		s := NewSettings("core", "for a test")
		slots := s.Integer("slots", 5, 1, 10, "slots")
		s.Require("name", "zone", "address")
		err := s.Read([]string{"-settings", path})
		if err == nil && (*slots < 1 || *slots > 10 || s.Host.Name == "") {
			t.Errorf("read %d slots, name %q", *slots, s.Host.Name)
		}
		if err != nil && err.Error() == "" {
			t.Error("rejected without an error message")
		}
	})
}
