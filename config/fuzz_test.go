package config

import (
	"encoding/json"
	"testing"

	"asterridge/register"
)

// Any declaration that is accepted must result in a readable configuration with its number, and repeating it must change nothing.
func FuzzDeclare(f *testing.F) {
	for _, d := range []NumberedConfig{declaration(1, 0, true, "a"), declaration(2, 1, false, "b"), {Number: 9, Removed: []string{"path/a"}}} {
		raw, _ := json.Marshal(d)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var d NumberedConfig
		if json.Unmarshal(text, &d) != nil {
			return
		}
		now := register.Fields{}
		change, err := ApplyNumbered(now, 0, d)
		if err != nil {
			return
		}
		now.Apply(change)
		if _, err := FromFields(now); err != nil {
			t.Errorf("accepted declaration does not decode as a configuration: %v", err)
		}
		if number, err := Number(now); err != nil || number != d.Number {
			t.Errorf("declared number %d, stored number %d, error %v", d.Number, number, err)
		}
		Texts(now)
		if again, err := ApplyNumbered(now, 1, d); err != nil || len(again) > 0 {
			t.Errorf("repeated declaration: change %v, error %v", again, err)
		}
	})
}
