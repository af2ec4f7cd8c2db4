package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/register"
)

// Registers that the data plane watches besides the configuration (docs/design.md §2.1).
const (
	ReplicasKey = "replicas"
	MembersKey  = "members"
	KeysPrefix  = "keys/"
	ModelsKey   = "models" // model → published version
	// SupersededKey names the register that holds, by model, the oldest version that may still be used.
	SupersededKey = "superseded"
	LoadsKey      = "loads" // replica → its latest load order (§6.2)
)

// Replica states, as spelled in the platform's updates and in the replica register.
const (
	ReplicaPresent  = "present"
	ReplicaDraining = "leaving"
	ReplicaWarming  = "warming"
	ReplicaGone     = "gone" // only in updates: removes the replica from the register
)

// Replica describes a back end as reported by the platform.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // ReplicaPresent, ReplicaDraining or ReplicaWarming
	Limit   int    `json:"limit"` // maximum concurrent requests
	// Models maps each model to its loaded version, if the platform reports it. The report may lag behind.
	Models map[string]uint64 `json:"models,omitempty"`
}

// Model holds the published version of a model.
type Model struct {
	Version uint64 `json:"version"`
}

// LoadOrder reserves a replica for loading a version of a model. After the load it stays as the record of what was loaded.
type LoadOrder struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Done    bool   `json:"done,omitempty"`
}

// ParseLoads decodes the loads register: the latest order of each replica, and the role holder that wrote last.
func ParseLoads(fields register.Fields) (map[string]LoadOrder, RoleHolder, error) {
	others, holder, err := splitHolder(fields)
	if err != nil {
		return nil, RoleHolder{}, err
	}
	orders, err := Load[LoadOrder](others)
	return orders, holder, err
}

// Access is the stored state of an access key, kept under the key's hash.
type Access struct {
	Revoked       bool   `json:"revoked"`
	TenantVersion uint64 `json:"born,omitempty"` // CreatedVersion of the tenant that it was granted to
}

// Member is a core in the membership list.
type Member struct {
	ID          uint32 `json:"id"`
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
}

// HashKey returns the hash under which an access key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte("asterridge key " + key))
	return hex.EncodeToString(sum[:16])
}

// Load decodes all fields of a register as values of one type.
func Load[T any](fields register.Fields) (map[string]T, error) {
	all := make(map[string]T, len(fields))
	for name, raw := range fields {
		if err := load(all, name, raw); err != nil {
			return nil, apierror.Wrap(err, apierror.Malformed, "register field "+name)
		}
	}
	return all, nil
}

// Field encodes one value as a register field.
func Field(name string, item any) register.Fields {
	raw, _ := json.Marshal(item) // plain structs always encode
	return register.Fields{name: raw}
}

// ParseReplicas parses a replica update from the platform.
func ParseReplicas(text []byte) ([]Replica, error) {
	doc, err := Document(text)
	if err != nil {
		return nil, err
	}
	var all []Replica
	err = doc.Object(func(field string, v Value) error {
		if field != "replicas" {
			return v.Reject(apierror.UnknownField, "not a field of the platform's news")
		}
		return v.List(func(item Value) error {
			r := Replica{State: ReplicaPresent, Limit: 4}
			err := item.Object(func(field string, v Value) error {
				switch field {
				case "name":
					return set(&r.Name, v.Name)
				case "address":
					return set(&r.Address, v.Text)
				case "pool":
					return set(&r.Pool, v.Name)
				case "zone":
					return set(&r.Zone, v.Name)
				case "state":
					return set(&r.State, oneOf(v, ReplicaPresent, ReplicaDraining, ReplicaWarming, ReplicaGone))
				case "limit":
					return set(&r.Limit, integerBetween(v, 1, 10000))
				}
				return v.Reject(apierror.UnknownField, "not a field of a replica")
			})
			if err == nil && r.Name == "" {
				err = item.Reject(apierror.Missing, "needs a name")
			}
			if err == nil && r.State != ReplicaGone && r.State != ReplicaDraining && (r.Address == "" || r.Pool == "") {
				err = item.Reject(apierror.Missing, "needs address and pool")
			}
			all = append(all, r)
			return err
		})
	})
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "platform")
	}
	return all, nil
}
