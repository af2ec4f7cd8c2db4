package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rendezvous"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

// proxyQueryTimeout is the time-out for one agent's response.
const proxyQueryTimeout = 2 * time.Second

// States of a core, in rows of the query "members".
const (
	stateMember       = "member"
	stateTransferring = "carrying"
)

// Query requests rows of one kind; Where selects those whose fields meet all conditions.
type Query struct {
	Kind  string      `json:"what"`
	Name  string      `json:"name,omitempty"` // the ID of a request, for kinds that take one
	Where []Condition `json:"where,omitempty"`
}

// Condition compares one field with a value.
type Condition struct {
	Field    string `json:"field"`
	Operator string `json:"is"` // "=", "!=", "<" or ">"
	Value    string `json:"value"`
}

// QueryResponse returns the rows, and the daemons that did not answer.
type QueryResponse struct {
	Rows         []router.Row `json:"rows"`
	Unresponsive []string     `json:"silent,omitempty"`
}

// configItems maps each query of configured items to the prefix of their fields in the configuration register.
var configItems = map[string]string{"tenants": "tenant/", "pools": "pool/", "paths": "path/", "adapters": "adapter/", "hold": "hold"}

// Query answers from this core's own state, or queries all proxies through their agents. The error is apierror.NotFound for an unknown
// kind.
func (c *Core) Query(ctx context.Context, q Query) (response QueryResponse, err error) {
	switch q.Kind {
	case "holds":
		response.Rows = c.throttleRows()
	case "acks":
		response.Rows = c.acknowledgementRows()
	case "members":
		response.Rows = c.memberRows()
	case "retirement":
		response.Rows = c.retirementRows(ctx)
	case "daemons":
		response.Rows = daemon.NodeRows(c.detector)
	case "owners":
		response.Rows = c.ownerRows()
	case "tenants", "pools", "paths", "adapters", "hold":
		response.Rows = c.configRows(configItems[q.Kind])
	case "fields":
		response.Rows = c.fieldRows()
	case "backlog", "replicas", "requests", "counts", "proxyholds", "proxyfields":
		response = c.queryProxies(ctx, router.Query{What: strings.TrimPrefix(q.Kind, "proxy"), Name: q.Name})
	default:
		return response, apierror.New(apierror.NotFound, "no query %q", q.Kind)
	}
	response.Rows = filterRows(response.Rows, q.Where)
	return response, nil
}

func (c *Core) throttleRows() (rows []router.Row) {
	for _, n := range c.throttles.All() {
		rows = append(rows, router.Row{"scope": n.Scope, "remaining_ms": n.RemainingMs, "reason": n.Reason, router.AttemptColumn: n.Attempt,
			"raw": n.Raw, "mark": n.ID, "observed": n.Observed, "owner": rendezvous.Pick(throttleRegister(n), c.live())})
	}
	return rows
}

// acknowledgementRows lists which configuration each agent has applied.
func (c *Core) acknowledgementRows() (rows []router.Row) {
	newest := c.acceptor.Revision(config.Key)
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		status, _ := agentStatus(state) // an unreadable status is shown as not current
		row := router.Row{"agent": state.Name, "behind": state.Lag, "age_ms": state.AgeMs, "current": status.Current, "why": status.NotCurrentReason,
			config.Key: state.Applied[config.Key].Version, "has_newest": state.Applied[config.Key] == newest, "proxy": ""}
		if status.Proxy != nil {
			row["proxy"] = status.Proxy.Proxy
		}
		rows = append(rows, row)
	}
	return rows
}

// agentStatus decodes the status that an agent sent with its last request.
func agentStatus(state watch.ClientState) (status protocol.AgentStatus, ok bool) {
	ok = json.Unmarshal(state.Status, &status) == nil
	return status, ok
}

// memberRows lists the members, whether registers are being transferred to them, and the joiners.
func (c *Core) memberRows() (rows []router.Row) {
	live := map[string]bool{}
	for _, name := range c.live() {
		live[name] = true
	}
	current := c.membership()
	for _, m := range current.members {
		rows = append(rows, router.Row{"id": m.ID, "name": m.Name, "address": m.Address, "zone": m.Zone, "live": live[m.Name], "state": stateMember, "incarnation": m.Incarnation})
	}
	if c.acceptor.Read(config.MembersKey).Fields[membership.PreviousField] != nil {
		rows = append(rows, router.Row{"name": "(keys are being transferred to this list)", "state": stateTransferring})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, joiner := range c.joiners {
		if time.Since(joiner.HeardAt) < membership.JoinerTimeout && !current.hasIncarnation(joiner.Incarnation) {
			rows = append(rows, router.Row{"name": joiner.Name, "address": joiner.Address, "zone": joiner.Zone, "live": true,
				"state": router.JoinerState, "image": joiner.CaughtUp, "incarnation": joiner.Incarnation})
		}
	}
	return rows
}

// ownerRows lists every register on this core's disk with its owner, as chosen among the members that are live for this core.
func (c *Core) ownerRows() (rows []router.Row) {
	for _, key := range c.acceptor.Keys() {
		record := c.acceptor.Read(key)
		rows = append(rows, router.Row{"key": key, "owner": rendezvous.Pick(key, c.live()), "epoch": record.Revision.Epoch,
			"version": record.Revision.Version, "settled": record.IsCommitted(), "fields": len(record.Fields)})
	}
	return rows
}

func (c *Core) configRows(prefix string) (rows []router.Row) {
	record := c.acceptor.Read(config.Key)
	for name, raw := range record.Fields {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		row := router.Row{}
		if err := json.Unmarshal(raw, &row); err != nil {
			row = router.Row{"field": name, "unreadable": err.Error()}
		}
		row["version"] = record.Revision.Version
		rows = append(rows, row)
	}
	return rows
}

func (c *Core) fieldRows() (rows []router.Row) {
	for _, key := range c.acceptor.Keys() {
		if protocol.IsPublished(key) {
			record := c.acceptor.Read(key)
			rows = append(rows, router.FieldRows(c.host.Name, key, record.Revision, record.Fields)...)
		}
	}
	return rows
}

// queryProxies queries every proxy through its agent, one after another.
func (c *Core) queryProxies(ctx context.Context, q router.Query) (response QueryResponse) {
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		status, ok := agentStatus(state)
		if !ok {
			continue
		}
		agentCtx, cancel := context.WithTimeout(ctx, proxyQueryTimeout)
		rows, err := rpc.Call[[]router.Row](agentCtx, c.rpc, status.Address, "/agent/query", q)
		cancel()
		if err != nil {
			response.Unresponsive = append(response.Unresponsive, state.Name)
			continue
		}
		response.Rows = append(response.Rows, rows...)
	}
	return response
}

func filterRows(rows []router.Row, where []Condition) []router.Row {
	matching := []router.Row{}
	for _, row := range rows {
		matchesAll := true
		for _, condition := range where {
			matchesAll = matchesAll && condition.matches(row)
		}
		if matchesAll {
			matching = append(matching, row)
		}
	}
	return matching
}

// matches compares text with "=" and "!=", and numbers with "<" and ">"; a value that is not a number matches neither of the latter.
func (c Condition) matches(row router.Row) bool {
	text := fmt.Sprint(row[c.Field])
	switch c.Operator {
	case "=":
		return text == c.Value
	case "!=":
		return text != c.Value
	}
	var field, value float64
	if _, err := fmt.Sscan(text, &field); err != nil {
		return false
	}
	if _, err := fmt.Sscan(c.Value, &value); err != nil {
		return false
	}
	return c.Operator == "<" && field < value || c.Operator == ">" && field > value
}
