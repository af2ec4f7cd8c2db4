package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

// Query asks for rows; where keeps those whose field has the value.
type Query struct {
	Kind  string      `json:"what"`
	Name  string      `json:"name,omitempty"`
	Where []Condition `json:"where,omitempty"`
}

// Condition compares one field.
type Condition struct {
	Field    string `json:"field"`
	Operator string `json:"is"` // "=", "!=", "<", ">"
	Value    string `json:"value"`
}

// QueryResponse has the rows, and which daemons did not answer.
type QueryResponse struct {
	Rows         []router.Row `json:"rows"`
	Unresponsive []string     `json:"silent,omitempty"`
}

// Query answers from this core's own state, or asks all proxies through their agents.
func (c *Core) Query(ctx context.Context, q Query) (QueryResponse, error) {
	var a QueryResponse
	followers := c.agentUpdates.ClientStates(protocol.ProxyTimeout)
	switch q.Kind {
	case "holds":
		for _, n := range c.throttles.All() {
			a.Rows = append(a.Rows, router.Row{"scope": n.Scope, "remaining_ms": n.RemainingMs, "reason": n.Reason, router.AttemptColumn: n.Attempt,
				"raw": n.Raw, "mark": n.ID, "observed": n.Observed, "owner": register.Pick(protocol.ThrottlePrefix+n.Scope, c.live())})
		}
	case "acks":
		version := c.acceptor.Revision(config.Key)
		for _, s := range followers {
			var status protocol.AgentStatus
			_ = json.Unmarshal(s.Status, &status)
			row := router.Row{"agent": s.Name, "behind": s.Lag, "age_ms": s.AgeMs, "current": status.Current, "why": status.NotCurrentReason,
				config.Key: s.Applied[config.Key].Version, "has_newest": s.Applied[config.Key] == version, "proxy": ""}
			if status.Proxy != nil {
				row["proxy"] = status.Proxy.Proxy
			}
			a.Rows = append(a.Rows, row)
		}
	case "members":
		live := map[string]bool{}
		for _, name := range c.live() {
			live[name] = true
		}
		for _, m := range c.membership().members {
			a.Rows = append(a.Rows, router.Row{"id": m.ID, "name": m.Name, "address": m.Address, "zone": m.Zone, "live": live[m.Name], "state": "member"})
		}
		if c.acceptor.Read(config.MembersKey).Fields[protocol.PreviousMembersField] != nil {
			a.Rows = append(a.Rows, router.Row{"name": "(keys are being carried over to this list)", "state": "carrying"})
		}
		c.mu.Lock()
		for _, s := range c.joiners {
			admitted := slices.ContainsFunc(c.membership().members, func(m config.Member) bool { return m.Incarnation == s.Incarnation })
			if time.Since(s.heardAt) < joinerTimeout && !admitted {
				a.Rows = append(a.Rows, router.Row{"name": s.Name, "address": s.Address, "zone": s.Zone, "live": true, "state": router.JoinerState, "image": s.CaughtUp})
			}
		}
		c.mu.Unlock()
	case "retirement":
		a.Rows = c.retirementRows(ctx)
	case "daemons":
		a.Rows = daemon.NodeRows(c.detector)
	case "owners":
		for _, key := range c.acceptor.Keys() {
			r := c.acceptor.Read(key)
			a.Rows = append(a.Rows, router.Row{"key": key, "owner": register.Pick(key, c.live()), "epoch": r.Revision.Epoch,
				"version": r.Revision.Version, "settled": r.IsCommitted(), "fields": len(r.Fields)})
		}
	case "tenants", "pools", "paths", "adapters", "hold":
		record := c.acceptor.Read(config.Key)
		kinds := map[string]string{"tenants": "tenant/", "pools": "pool/", "paths": "path/", "adapters": "adapter/", "hold": "hold"}
		for name, raw := range record.Fields {
			if len(name) >= len(kinds[q.Kind]) && name[:len(kinds[q.Kind])] == kinds[q.Kind] {
				row := router.Row{}
				_ = json.Unmarshal(raw, &row)
				row["version"] = record.Revision.Version
				a.Rows = append(a.Rows, row)
			}
		}
	case "fields":
		for _, key := range c.acceptor.Keys() {
			if protocol.IsPublished(key) {
				record := c.acceptor.Read(key)
				a.Rows = append(a.Rows, router.FieldRows(c.host.Name, key, record.Revision, record.Fields)...)
			}
		}
	case "backlog", "replicas", "requests", "counts", "proxyholds", "proxyfields":
		ask := router.Query{What: strings.TrimPrefix(q.Kind, "proxy"), Name: q.Name}
		for _, s := range followers {
			var status protocol.AgentStatus
			if json.Unmarshal(s.Status, &status) != nil {
				continue
			}
			short, stop := context.WithTimeout(ctx, 2*time.Second)
			rows, err := rpc.Call[[]router.Row](short, c.rpc, status.Address, "/agent/query", ask)
			stop()
			if err != nil {
				a.Unresponsive = append(a.Unresponsive, s.Name)
				continue
			}
			a.Rows = append(a.Rows, rows...)
		}
	default:
		return a, apierror.New(apierror.NotFound, "no query %q", q.Kind)
	}
	a.Rows = filterRows(a.Rows, q.Where)
	return a, nil
}

func filterRows(rows []router.Row, where []Condition) []router.Row {
	kept := []router.Row{}
	for _, row := range rows {
		fit := true
		for _, w := range where {
			fit = fit && w.matches(row)
		}
		if fit {
			kept = append(kept, row)
		}
	}
	return kept
}

func (w Condition) matches(row router.Row) bool {
	has := fmt.Sprint(row[w.Field])
	switch w.Operator {
	case "=":
		return has == w.Value
	case "!=":
		return has != w.Value
	}
	var a, b float64
	if _, err := fmt.Sscan(has, &a); err != nil {
		return false
	}
	if _, err := fmt.Sscan(w.Value, &b); err != nil {
		return false
	}
	return w.Operator == "<" && a < b || w.Operator == ">" && a > b
}
