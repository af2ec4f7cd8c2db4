package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// WriteSettings puts a settings file in place in one step, as the tools of operators do: a process that reads it meanwhile finds it whole.
func WriteSettings(file string, settings any) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	next, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file))
	if err != nil {
		return err
	}
	if _, err := next.Write(raw); err != nil {
		_ = next.Close() // the write's error is the one that counts
		return err
	}
	if err := next.Close(); err != nil {
		return err
	}
	return os.Rename(next.Name(), file)
}
