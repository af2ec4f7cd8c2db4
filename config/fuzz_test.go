package config

import (
	"encoding/json"
	"testing"

	"asterridge/register"
)

// Whatever declaration a message brings: if it is taken, the result is a configuration, under its number, and the same again changes nothing.
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
			t.Errorf("what was taken is no configuration: %v", err)
		}
		if number, err := Number(now); err != nil || number != d.Number {
			t.Errorf("number %d is there as %d, %v", d.Number, number, err)
		}
		Texts(now)
		if again, err := ApplyNumbered(now, 1, d); err != nil || len(again) > 0 {
			t.Errorf("the same again: %v, %v", again, err)
		}
	})
}
