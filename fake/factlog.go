package fake

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/register"
)

// Fact is a change that the fleet was told, with the time of its acceptance.
type Fact struct {
	Kind  string    `json:"kind"` // "accepted", or what follows from it: "revoked", "leaving", "present", "weights", "wall", "returned"
	Name  string    `json:"name"` // the register of an accepted change; otherwise a key's hash, a replica, a pool or a tenant
	Value string    `json:"value,omitempty"`
	At    time.Time `json:"at"`
	// Tried marks a change that was neither accepted nor clearly refused: it may or may not be in force.
	Tried bool `json:"tried,omitempty"`
	// For an accepted change: the register's version, and what the change set.
	Version uint64          `json:"version,omitempty"`
	Full    bool            `json:"whole,omitempty"` // replaces the whole former content
	Fields  register.Fields `json:"fields,omitempty"`
}

// Kinds of facts.
const (
	Took      = "accepted"
	Revoked   = "revoked"
	Draining  = "leaving"
	Present   = "present"
	Weights   = "weights"
	Isolation = "wall"     // value: up, down, or removed with its tenant
	Base      = "base"     // base of an adapter, as declared or since its route has switched
	Retire    = "retire"   // name: the old base, value: the new one
	Undone    = "undone"   // retirement that was undone, by its old base
	Returned  = "returned" // all machines are back: service has to return
)

// FactLog records the changes that operators and platform have made.
type FactLog struct {
	mu    sync.Mutex
	facts []Fact
}

// Add records one fact with the present time.
func (d *FactLog) Add(f Fact) {
	f.At = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.facts = append(d.facts, f)
}

// Facts returns a copy of all recorded facts.
func (d *FactLog) Facts() []Fact {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Fact(nil), d.facts...)
}

// Newest is the highest configuration version that was accepted.
func (d *FactLog) Newest() (version uint64) {
	for _, f := range d.Facts() {
		if f.Kind == Took && f.Name == config.Key {
			version = max(version, f.Version)
		}
	}
	return version
}

// orderText holds the fields of an order that the rules read.
type orderText struct {
	Text    json.RawMessage `json:"text"`
	Partial bool            `json:"partial"`
	Tenant  string          `json:"tenant"`
	Hash    string          `json:"hash"`
	Revoked bool            `json:"revoked"`
	Do      string          `json:"do"`
	Name    string          `json:"name"`
	Old     string          `json:"old"`
	New     string          `json:"new"`
}

// Order records a change requested at /op/NAME: as accepted under a version, or as attempted if its result is unknown.
func (d *FactLog) Order(name string, order any, version uint64, tried bool) {
	raw, _ := json.Marshal(order) // plain structs always encode
	var o orderText
	_ = json.Unmarshal(raw, &o) // as below
	took := Fact{Kind: Took, Version: version, Tried: tried, Fields: register.Fields{}}
	more := func(kind, name, value string) { d.Add(Fact{Kind: kind, Name: name, Value: value, Tried: tried}) }
	switch name {
	case config.Key:
		took.Name, took.Full = config.Key, !o.Partial
		readConfig(o.Text, took.Fields, more)
	case "replicas":
		took.Name = config.ReplicasKey
		readReplicas(o.Text, took.Fields, more)
	case "keys":
		took.Name = config.KeysPrefix + o.Tenant
		took.Fields[o.Hash] = json.RawMessage(`{"revoked":` + strconv.FormatBool(o.Revoked) + `}`)
		if o.Revoked {
			more(Revoked, o.Hash, "")
		}
	case "retirement": // its register is the duty's from there on: rule 11 asks only that all hold the same
		if o.Do == "undo" {
			more(Undone, d.undone(o.Old), "")
		} else {
			more(Retire, o.Old, o.New)
		}
		return
	case "members":
		took.Name = config.MembersKey
		took.Fields[o.Name], _ = json.Marshal(map[string]string{"name": o.Name})
		if o.Do == "retire" {
			took.Fields[o.Name] = nil
		}
	}
	d.Add(took)
}

// undone returns the retirement that an undo refers to. An undo without a name refers to the one in progress.
func (d *FactLog) undone(old string) string {
	if old != "" {
		return old
	}
	for _, f := range d.Facts() {
		if f.Kind == Retire {
			old = f.Name
		}
	}
	return old
}

// readReplicas turns the platform's list of replicas into register fields, and records which replicas are present and which are leaving.
func readReplicas(text []byte, fields register.Fields, more func(kind, name, value string)) {
	for _, item := range readList(text, "replicas") {
		replica, state := word(item["name"]), word(item["state"])
		if state == "gone" {
			fields[replica] = nil
		} else {
			fields[replica], _ = json.Marshal(item)
		}
		if state == "gone" || state == "leaving" {
			more(Draining, replica, "")
		} else {
			more(Present, replica, "")
		}
	}
}

// readConfig turns an operator's configuration into register fields, and records the facts that the rules need.
func readConfig(text []byte, fields register.Fields, more func(kind, name, value string)) {
	for list, kind := range map[string]string{"tenants": "tenant/", "pools": "pool/", "paths": "path/", "adapters": "adapter/"} {
		for _, item := range readList(text, list) {
			name := word(item["name"])
			if base := word(item["base"]); base != "" {
				more(Base, name, base)
			}
			delete(item, "builds") // are added to those that are there
			fields[kind+name], _ = json.Marshal(item)
			if weights := word(item["weights"]); weights != "" {
				more(Weights, name, weights)
			}
			switch string(item["walled"]) {
			case "true":
				more(Isolation, name, "up")
			case "false":
				more(Isolation, name, "down")
			}
		}
	}
	var rest struct {
		Hold   json.RawMessage     `json:"hold"`
		Remove map[string][]string `json:"remove"`
	}
	_ = json.Unmarshal(text, &rest) // a text that the cores rejected as well
	if rest.Hold != nil {
		fields["hold"] = rest.Hold
	}
	for kind, names := range rest.Remove {
		for _, name := range names {
			fields[kind[:len(kind)-1]+"/"+name] = nil
			if kind == "tenants" {
				more(Isolation, name, "removed")
			}
		}
	}
}

// readList decodes a list of objects by name.
func readList(text []byte, name string) (items []map[string]json.RawMessage) {
	var all map[string]json.RawMessage
	_ = json.Unmarshal(text, &all) // what the fleet took is well-formed
	_ = json.Unmarshal(all[name], &items)
	return items
}

// word returns an attribute as a string, or "" if it is absent.
func word(raw json.RawMessage) (text string) {
	_ = json.Unmarshal(raw, &text) // none: empty
	return text
}
