package config

import (
	"encoding/json"
	"slices"
	"strings"

	"asterridge/apierror"
	"asterridge/idempotency"
	"asterridge/register"
)

// NumberedConfig is a configuration that the operators number themselves. It replaces the current one (full) or amends it
// (docs/design.md §2.9).
type NumberedConfig struct {
	Number  uint64          `json:"number"`
	BasedOn uint64          `json:"based_on"`
	Full    bool            `json:"whole"`
	Digest  string          `json:"digest"` // digest of the text that it was parsed from
	Items   register.Fields `json:"items"`  // register fields, named as by Config.Fields
	Texts   register.Fields `json:"texts"`  // original texts of the items, under the same names
	Order   []string        `json:"order"`  // names of Texts in the order of the text
	Removed []string        `json:"removed,omitempty"`
}

// textPrefix is the prefix of the fields that hold the original texts of items.
const textPrefix = "text/"

// text is the stored original text of an item with its position in the list.
type text struct {
	Place int             `json:"place"`
	Text  json.RawMessage `json:"text"`
}

// IsText reports whether a field is control-plane bookkeeping (original texts, accepted numbers, idempotency keys), which the data plane does
// not need.
func IsText(field string) bool {
	return field == numberField || strings.HasPrefix(field, textPrefix) || strings.HasPrefix(field, acceptedPrefix) || idempotency.IsField(field)
}

// Number returns the current accepted number, or 0 if the configuration is not numbered. The error is apierror.Malformed.
func Number(fields register.Fields) (uint64, error) {
	n, err := readNumbering(fields)
	return n.Number, err
}

// Text is the original text of a configured item.
type Text struct {
	Kind, Name string
	Text       json.RawMessage
}

// Texts returns the original texts of the configured items, by kind and in the order in which they were first declared.
func Texts(fields register.Fields) (all []Text) {
	places := map[string]int{}
	for field, raw := range fields {
		name, operatorText := strings.CutPrefix(field, textPrefix)
		var t text
		if !operatorText || json.Unmarshal(raw, &t) != nil {
			continue
		}
		kind, rest, _ := strings.Cut(name, "/")
		places[name] = t.Place
		all = append(all, Text{kind, rest, t.Text})
	}
	slices.SortFunc(all, func(a, b Text) int {
		if by := strings.Compare(a.Kind, b.Kind); by != 0 {
			return by
		}
		if by := places[a.Kind+"/"+a.Name] - places[b.Kind+"/"+b.Name]; by != 0 {
			return by
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

// check reports whether exactly this declaration was accepted before. For a declaration that cannot be applied, the error is
// apierror.Undecided, Conflict or OutOfRange.
func (a acceptedHistory) check(d NumberedConfig) (before bool, err error) {
	switch {
	case d.BasedOn != a.Number && a.has(d):
		return true, nil
	case d.BasedOn != a.Number && a.mayHaveAccepted(d):
		return false, apierror.New(apierror.Undecided, "number %d may have been accepted once: only those above %d are remembered", d.Number, a.DroppedUpTo)
	case d.BasedOn != a.Number:
		return false, apierror.New(apierror.Conflict, "built on %d, present is %d", d.BasedOn, a.Number)
	case d.Number <= a.Number:
		return false, apierror.New(apierror.OutOfRange, "number %d is not above %d", d.Number, a.Number)
	}
	return false, nil
}

// ApplyNumbered returns the register change for a declaration, or no change if exactly this declaration was accepted before. Numbers only
// increase, so a declaration based on the current number is new. Any other one without a record was never accepted, unless its record may
// have been dropped from the history: then the error is apierror.Undecided.
func ApplyNumbered(now register.Fields, version uint64, d NumberedConfig) (register.Fields, error) {
	was, err := readAccepted(now)
	if err != nil {
		return nil, err
	}
	if before, err := was.check(d); before || err != nil {
		return nil, err
	}
	made := register.Fields{}
	next := 0
	for field, raw := range now {
		if strings.HasPrefix(field, acceptedPrefix) {
			continue
		}
		if !d.Full || field == "hold" || idempotency.IsField(field) {
			made[field] = raw
		}
		var t text
		if !d.Full && strings.HasPrefix(field, textPrefix) && json.Unmarshal(raw, &t) == nil {
			next = max(next, t.Place+1)
		}
	}
	for _, name := range d.Removed {
		delete(made, name)
		delete(made, textPrefix+name)
	}
	made.Apply(d.Items)
	for i, name := range d.Order {
		t := text{Place: next + i, Text: d.Texts[name]}
		var before text
		if json.Unmarshal(made[textPrefix+name], &before) == nil {
			t.Place = before.Place
		}
		made[textPrefix+name], _ = json.Marshal(t) // valid JSON input always encodes
	}
	was.Number = d.Number
	was.record(acceptedRecord{d.Number, d.fingerprint()})
	made[numberField], _ = json.Marshal(was.numbering) // a plain struct always encodes
	made.Apply(was.fields)
	b, err := FromFields(made)
	if err == nil {
		err = b.Check()
	}
	if err != nil {
		return nil, err
	}
	base, err := FromFields(now)
	if err != nil {
		return nil, err
	}
	b.Inherit(base, version+1)
	b.Open = len(b.Tenants) == 0
	delete(made, "open")
	made.Apply(b.Fields())
	return Delta(now, made), nil
}
