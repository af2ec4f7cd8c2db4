package config

import (
	"maps"
	"strings"

	"asterridge/apierror"
)

// Parse parses an operator's text: a full configuration, or a partial one that is applied to base. An invalid text is rejected whole.
func Parse(text []byte, base *Config, partial bool) (*Config, error) {
	if len(text) > MaxText {
		return nil, apierror.New(apierror.Oversize, "%d bytes, at most %d", len(text), MaxText)
	}
	doc, err := Document(text)
	if err != nil {
		return nil, err
	}
	config := Empty()
	if partial {
		for name, t := range base.Tenants {
			config.Tenants[name] = t
		}
		for name, p := range base.Pools {
			config.Pools[name] = p
		}
		for name, p := range base.Paths {
			config.Paths[name] = p
		}
		maps.Copy(config.Adapters, base.Adapters)
		config.Throttle, config.Limits = base.Throttle, base.Limits
	}
	err = doc.Object(func(name string, v Value) error {
		switch name {
		case "tenants":
			return items(v, config.Tenants, Tenant{Weight: 1, Backlog: 256, Scope: "tenant"}, readTenant)
		case "pools":
			return items(v, config.Pools, Pool{Kind: "model"}, readPool)
		case "paths":
			return items(v, config.Paths, Path{DeadlineMs: 30000, MaxBody: 1 << 20, Cost: 1}, readPath)
		case "adapters":
			return items(v, config.Adapters, Adapter{}, readAdapter)
		case "hold":
			return readThrottle(v, &config.Throttle)
		case "limits":
			return readLimits(v, &config.Limits)
		case "remove":
			if partial {
				return remove(v, config)
			}
		}
		return v.Reject(apierror.UnknownField, "not a field of a configuration")
	})
	if err == nil {
		err = config.Check()
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "configuration")
	}
	return config, nil
}

// items reads a list of named items. It updates existing items field by field and starts new ones from the given defaults.
func items[T any](v Value, into map[string]T, defaults T, read func(item *T, name string, field Value) error) error {
	seen := map[string]bool{}
	return v.List(func(entry Value) error {
		name := ""
		err := entry.Object(func(field string, v Value) (err error) {
			if field == "name" {
				name, err = v.Name()
				if err == nil && seen[name] {
					err = v.Reject(apierror.RepeatField, "%q stands twice in the list", name)
				}
			}
			return err
		})
		if err != nil {
			return err
		}
		if name == "" {
			return entry.Reject(apierror.Missing, "needs a name")
		}
		seen[name] = true
		item, ok := into[name]
		if !ok {
			item = defaults
		}
		if err := entry.Object(func(field string, v Value) error { return read(&item, field, v) }); err != nil {
			return err
		}
		into[name] = item
		return nil
	})
}

// remove reads lists of names by kind and deletes these items.
func remove(v Value, config *Config) error {
	return v.Object(func(kind string, list Value) error {
		return list.List(func(item Value) error {
			name, err := item.Name()
			if err != nil {
				return err
			}
			ok := false
			switch kind {
			case "tenants":
				_, ok = config.Tenants[name]
				delete(config.Tenants, name)
			case "pools":
				_, ok = config.Pools[name]
				delete(config.Pools, name)
			case "paths":
				_, ok = config.Paths[name]
				delete(config.Paths, name)
			case "adapters":
				_, ok = config.Adapters[name]
				delete(config.Adapters, name)
			default:
				return list.Reject(apierror.UnknownField, "nothing of this kind can be removed")
			}
			if !ok {
				return item.Reject(apierror.Dangling, "there is no %q to remove", name)
			}
			return nil
		})
	})
}

// set assigns the result of read unless it fails.
func set[T any](into *T, read func() (T, error)) error {
	value, err := read()
	if err == nil {
		*into = value
	}
	return err
}

// integerBetween returns a reader of an integer within a range.
func integerBetween(v Value, least, most int) func() (int, error) {
	return func() (int, error) { return v.Integer(least, most) }
}

// oneOf returns a reader of one of the given strings.
func oneOf(v Value, allowed ...string) func() (string, error) {
	return func() (string, error) { return v.OneOf(allowed...) }
}

// readTenant reads one field of a tenant.
func readTenant(t *Tenant, field string, v Value) error {
	switch field {
	case "name":
		return set(&t.Name, v.Name)
	case "walled":
		return set(&t.Isolated, v.Flag)
	case "weight":
		return set(&t.Weight, integerBetween(v, 1, 100))
	case "backlog":
		return set(&t.Backlog, integerBetween(v, 0, 100000))
	case "scope":
		return set(&t.Scope, oneOf(v, "tenant", "pool"))
	case "urgency":
		t.Urgency = new(int)
		return set(t.Urgency, integerBetween(v, 0, 9))
	}
	return v.Reject(apierror.UnknownField, "not a field of a tenant")
}

// readPool reads one field of a pool.
func readPool(p *Pool, field string, v Value) error {
	switch field {
	case "name":
		return set(&p.Name, v.Name)
	case "kind":
		return set(&p.Kind, oneOf(v, "model", "web", "store"))
	case "weights":
		return set(&p.Weights, v.Name)
	case "models":
		p.Models = nil
		return v.List(func(item Value) error {
			name, err := item.Name()
			p.Models = append(p.Models, name)
			return err
		})
	case "max_conns":
		return set(&p.MaxConns, integerBetween(v, 0, 1000000))
	}
	return v.Reject(apierror.UnknownField, "not a field of a pool")
}

// readPath reads one field of a path.
func readPath(p *Path, field string, v Value) error {
	switch field {
	case "name":
		return set(&p.Name, v.Name)
	case "address":
		if err := set(&p.Address, v.Text); err != nil {
			return err
		}
		if !strings.HasPrefix(p.Address, "/") || len(p.Address) > 256 {
			return v.Reject(apierror.OutOfRange, "an address starts with / and has at most 256 bytes")
		}
		return nil
	case "model":
		return set(&p.Model, v.Name)
	case "pool":
		return set(&p.Pool, v.Name)
	case "repeatable":
		return set(&p.Idempotent, v.Flag)
	case "deadline_ms":
		return set(&p.DeadlineMs, integerBetween(v, 100, 600000))
	case "max_body":
		return set(&p.MaxBody, integerBetween(v, 0, 16<<20))
	case "cost":
		return set(&p.Cost, integerBetween(v, 1, 1000))
	case "host":
		return set(&p.Host, v.Text)
	case "targets":
		p.Targets = nil
		return v.List(func(item Value) error {
			var t Target
			err := item.Object(func(field string, v Value) error {
				switch field {
				case "pool":
					return set(&t.Pool, v.Name)
				case "share":
					return set(&t.Weight, integerBetween(v, 0, 1000000))
				}
				return v.Reject(apierror.UnknownField, "not a field of a target")
			})
			p.Targets = append(p.Targets, t)
			return err
		})
	case "tries":
		return set(&p.Tries, integerBetween(v, 0, 100))
	case "aim_ms":
		return set(&p.LatencyTargetMs, integerBetween(v, 0, 600000))
	case "gap_ms":
		return set(&p.GapMs, integerBetween(v, 0, 600000))
	case "urgency":
		return set(&p.Urgency, integerBetween(v, 0, 9))
	case "resumable":
		return set(&p.Resumable, v.Flag)
	case "public":
		return set(&p.Public, v.Flag)
	case "adapter":
		return set(&p.Adapter, v.Name)
	}
	return v.Reject(apierror.UnknownField, "not a field of a path")
}

// readThrottle reads the throttle rule.
func readThrottle(v Value, rule *ThrottleRule) error {
	return v.Object(func(field string, v Value) error {
		switch field {
		case "base_ms":
			return set(&rule.BaseMs, integerBetween(v, 1, 60000))
		case "cap_ms":
			return set(&rule.CapMs, integerBetween(v, 1, 600000))
		case "jitter":
			return set(&rule.Jitter, func() (float64, error) { return v.Figure(0, 1) })
		case "observe":
			return set(&rule.Observe, v.Flag)
		case "slow_ratio":
			return set(&rule.SlowRatio, func() (float64, error) { return v.Figure(1.5, 100) })
		}
		return v.Reject(apierror.UnknownField, "not a field of the hold")
	})
}

// readLimits reads the client limits.
func readLimits(v Value, l *Limits) error {
	return v.Object(func(field string, v Value) error {
		switch field {
		case "header_bytes":
			return set(&l.HeaderBytes, integerBetween(v, 0, 1<<20))
		case "body_bytes":
			return set(&l.BodyBytes, integerBetween(v, 0, 16<<20))
		case "header_ms":
			return set(&l.HeaderMs, integerBetween(v, 0, 600000))
		case "idle_ms":
			return set(&l.IdleMs, integerBetween(v, 0, 3600000))
		}
		return v.Reject(apierror.UnknownField, "not a field of the limits")
	})
}
