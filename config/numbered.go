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
	// ListsTenants reports whether the text has a list of tenants, which may be empty; nil: sent by a build that does not say.
	ListsTenants *bool `json:"lists_tenants,omitempty"`
}

// textPrefix is the prefix of the fields that hold the original texts of items.
const textPrefix = "text/"

// storedText is the stored original text of an item with its position in the list.
type storedText struct {
	Position int             `json:"place"`
	Text     json.RawMessage `json:"text"`
}

// IsText reports whether a field is control-plane bookkeeping (original texts, accepted numbers, idempotency keys), which the data plane does
// not need.
func IsText(field string) bool {
	return field == numberField || strings.HasPrefix(field, textPrefix) || strings.HasPrefix(field, acceptedPrefix) || idempotency.IsField(field)
}

// NumberedTexts is a numbered configuration as operators read it.
type NumberedTexts struct {
	Number    uint64 // 0: there is none
	Texts     []Text
	KeyPolicy KeyPolicy
}

// DecodeNumbered decodes the numbered configuration from the fields of its register. The error is apierror.Malformed.
func DecodeNumbered(fields register.Fields) (NumberedTexts, error) {
	number, err := Number(fields)
	if err != nil {
		return NumberedTexts{}, err
	}
	policy, err := storedKeyPolicy(fields)
	return NumberedTexts{Number: number, Texts: Texts(fields), KeyPolicy: policy}, err
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
	positions := map[string]int{}
	for field, raw := range fields {
		name, isText := strings.CutPrefix(field, textPrefix)
		var t storedText
		if !isText || json.Unmarshal(raw, &t) != nil {
			continue
		}
		kind, rest, _ := strings.Cut(name, "/")
		positions[name] = t.Position
		all = append(all, Text{kind, rest, t.Text})
	}
	slices.SortFunc(all, func(a, b Text) int {
		if order := strings.Compare(a.Kind, b.Kind); order != 0 {
			return order
		}
		if by := positions[a.Kind+"/"+a.Name] - positions[b.Kind+"/"+b.Name]; by != 0 {
			return by
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

// check reports whether exactly this declaration was accepted before. For a declaration that cannot be applied, the error is
// apierror.Undecided, Conflict or OutOfRange.
func (a acceptedHistory) check(d NumberedConfig) (alreadyAccepted bool, err error) {
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
func ApplyNumbered(current register.Fields, version uint64, d NumberedConfig) (register.Fields, error) {
	history, err := readAccepted(current)
	if err != nil {
		return nil, err
	}
	if alreadyAccepted, err := history.check(d); alreadyAccepted || err != nil {
		return nil, err
	}
	result := d.mergeInto(current)
	history.Number = d.Number
	history.record(acceptedRecord{d.Number, d.fingerprint()})
	result[numberField], _ = json.Marshal(history.numbering) // a plain struct always encodes
	result.Apply(history.fields)
	config, err := FromFields(result)
	if err == nil {
		err = config.Check()
	}
	if err != nil {
		return nil, err
	}
	base, err := FromFields(current)
	if err != nil {
		return nil, err
	}
	config.Inherit(base, version+1)
	config.KeyPolicy = config.keyPolicyAfter(base, len(current) == 0, d)
	delete(result, openField)
	delete(result, keyPolicyField)
	result.Apply(config.Fields())
	if config.KeyPolicy != KeyIgnored {
		result.Apply(Field(keyPolicyField, config.KeyPolicy))
	}
	return Delta(current, result), nil
}

// mergeInto returns the fields that result from the declaration's items and texts on top of the current ones, without the history of accepted
// numbers. A full declaration keeps only what the operators' texts do not declare.
func (d NumberedConfig) mergeInto(current register.Fields) register.Fields {
	result := register.Fields{}
	nextPosition := 0
	for field, raw := range current {
		if strings.HasPrefix(field, acceptedPrefix) {
			continue
		}
		if !d.Full || field == "hold" || idempotency.IsField(field) {
			result[field] = raw
		}
		var t storedText
		if !d.Full && strings.HasPrefix(field, textPrefix) && json.Unmarshal(raw, &t) == nil {
			nextPosition = max(nextPosition, t.Position+1)
		}
	}
	for _, name := range d.Removed {
		delete(result, name)
		delete(result, textPrefix+name)
	}
	result.Apply(d.Items)
	for i, name := range d.Order {
		t := storedText{Position: nextPosition + i, Text: d.Texts[name]}
		var previous storedText
		if json.Unmarshal(result[textPrefix+name], &previous) == nil {
			t.Position = previous.Position
		}
		result[textPrefix+name], _ = json.Marshal(t) // valid JSON input always encodes
	}
	return result
}
