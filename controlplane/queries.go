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

// proxyQueryTimeout bounds the answer of one agent.
const proxyQueryTimeout = 2 * time.Second

// The states of a core, in rows of the query "members".
const (
	stateMember       = "member"
	stateTransferring = "carrying"
)

// Query asks for rows of one kind; Where keeps those whose fields meet all conditions.
type Query struct {
	Kind  string      `json:"what"`
	Name  string      `json:"name,omitempty"` // of a request, where the kind takes one
	Where []Condition `json:"where,omitempty"`
}

// Condition compares one field with a value.
type Condition struct {
	Field    string `json:"field"`
	Operator string `json:"is"` // "=", "!=", "<" or ">"
	Value    string `json:"value"`
}

// QueryResponse has the rows, and the daemons that did not answer.
type QueryResponse struct {
	Rows         []router.Row `json:"rows"`
	Unresponsive []string     `json:"silent,omitempty"`
}

// configItems gives, for each query of configured items, the prefix of their fields in the configuration's register.
var configItems = map[string]string{"tenants": "tenant/", "pools": "pool/", "paths": "path/", "adapters": "adapter/", "hold": "hold"}

// Query answers from this core's own state, or asks all proxies through their agents. The error is apierror.NotFound for a kind that there
// is not.
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

// acknowledgementRows shows how far each agent is with the configuration.
func (c *Core) acknowledgementRows() (rows []router.Row) {
	newest := c.acceptor.Revision(config.Key)
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		status, _ := agentStatus(state) // one that cannot be read is shown as not current
		row := router.Row{"agent": state.Name, "behind": state.Lag, "age_ms": state.AgeMs, "current": status.Current, "why": status.NotCurrentReason,
			config.Key: state.Applied[config.Key].Version, "has_newest": state.Applied[config.Key] == newest, "proxy": ""}
		if status.Proxy != nil {
			row["proxy"] = status.Proxy.Proxy
		}
		rows = append(rows, row)
	}
	return rows
}

// agentStatus reads what an agent reported of itself with its last request.
func agentStatus(state watch.ClientState) (status protocol.AgentStatus, ok bool) {
	ok = json.Unmarshal(state.Status, &status) == nil
	return status, ok
}

// memberRows shows the members, whether keys are being transferred to their list, and the cores that ask to be admitted.
func (c *Core) memberRows() (rows []router.Row) {
	live := map[string]bool{}
	for _, name := range c.live() {
		live[name] = true
	}
	now := c.membership()
	for _, m := range now.members {
		rows = append(rows, router.Row{"id": m.ID, "name": m.Name, "address": m.Address, "zone": m.Zone, "live": live[m.Name], "state": stateMember, "incarnation": m.Incarnation})
	}
	if c.acceptor.Read(config.MembersKey).Fields[membership.PreviousField] != nil {
		rows = append(rows, router.Row{"name": "(keys are being carried over to this list)", "state": stateTransferring})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, joiner := range c.joiners {
		if time.Since(joiner.HeardAt) < membership.JoinerTimeout && !now.hasIncarnation(joiner.Incarnation) {
			rows = append(rows, router.Row{"name": joiner.Name, "address": joiner.Address, "zone": joiner.Zone, "live": true,
				"state": router.JoinerState, "image": joiner.CaughtUp, "incarnation": joiner.Incarnation})
		}
	}
	return rows
}

// ownerRows shows every register of this core's disk with the owner that it would be taken to.
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

// queryProxies asks every proxy through its agent, one after another.
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
	kept := []router.Row{}
	for _, row := range rows {
		fits := true
		for _, condition := range where {
			fits = fits && condition.matches(row)
		}
		if fits {
			kept = append(kept, row)
		}
	}
	return kept
}

// matches compares texts with "=" and "!=", and numbers with "<" and ">"; what is no number matches neither of these.
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
