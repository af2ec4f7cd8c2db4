package config

import (
	"encoding/json"
	"slices"
	"strings"

	"asterridge/apierror"
	"asterridge/idempotency"
	"asterridge/register"
)

// NumberedConfig is a configuration under a number of the operators' own, whole or as an amendment of the one before (docs/design.md
// §2.9).
type NumberedConfig struct {
	Number  uint64          `json:"number"`
	BasedOn uint64          `json:"based_on"`
	Full    bool            `json:"whole"`
	Digest  string          `json:"digest"` // of the text that it was read from
	Items   register.Fields `json:"items"`  // as Config.Fields names them
	Texts   register.Fields `json:"texts"`  // the same names: as the operators wrote them
	Order   []string        `json:"order"`  // of the texts' names
	Removed []string        `json:"removed,omitempty"`
}

// textPrefix begins the fields that hold items as they were written.
const textPrefix = "text/"

// text is an item as it was written, with its position among the others.
type text struct {
	Place int             `json:"place"`
	Text  json.RawMessage `json:"text"`
}

// IsText reports whether a field only holds what operators wrote or when; the data plane has no use for it.
func IsText(field string) bool {
	return field == numberField || strings.HasPrefix(field, textPrefix) || strings.HasPrefix(field, acceptedPrefix) || idempotency.IsField(field)
}

// Number gives the accepted number; 0: the configuration is not numbered. The error is apierror.Malformed if it cannot be read.
func Number(fields register.Fields) (uint64, error) {
	n, err := readNumbering(fields)
	return n.Number, err
}

// Text is a configured item as it was written.
type Text struct {
	Kind, Name string
	Text       json.RawMessage
}

// Texts lists the configured items as they were written, in their order.
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

// check reports whether just this declaration was accepted before. The errors are those of a declaration that does not fit:
// apierror.Undecided, Conflict and OutOfRange.
func (a accepted) check(d NumberedConfig) (before bool, err error) {
	switch {
	case d.BasedOn != a.Number && a.has(d):
		return true, nil
	case d.BasedOn != a.Number && a.mayHave(d):
		return false, apierror.New(apierror.Undecided, "number %d may have been accepted once: only those above %d are remembered", d.Number, a.Forgotten)
	case d.BasedOn != a.Number:
		return false, apierror.New(apierror.Conflict, "built on %d, present is %d", d.BasedOn, a.Number)
	case d.Number <= a.Number:
		return false, apierror.New(apierror.OutOfRange, "number %d is not above %d", d.Number, a.Number)
	}
	return false, nil
}

// ApplyNumbered gives the change that a declaration makes; none if just this one was accepted before. Numbers only rise, so one that is built on
// the present number is new, and of another it is known for sure that it was never accepted, unless it may be older than the memory of the
// accepted ones: then it is answered without a verdict.
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
		made[textPrefix+name], _ = json.Marshal(t) // what was read as JSON encodes
	}
	was.Number = d.Number
	was.remember(acceptedRecord{d.Number, d.fingerprint()})
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
