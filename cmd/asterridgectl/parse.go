package main

import (
	"encoding/json"
	"strconv"
	"strings"
	"unicode"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/idempotency"
	"asterridge/membership"
)

// command is a parsed line: a query, an order for one of the cores' endpoints, help or quit.
type command struct {
	query *controlplane.Query
	order string // endpoint below /op/
	body  any
	// key points to the idempotency key within the body, and register is the register that the order changes. Both are unset for membership
	// changes.
	key      *idempotency.Key
	register string
	// member is the membership change in the body; nil for other orders.
	member *membership.Change
	file   string // file argument of apply and merge, whose content becomes the order's text
	help   bool
	quit   bool
}

// token is a word, a quoted string or a symbol, with its position in the line.
type token struct {
	text   string
	at     int // byte position, from 1
	quoted bool
	symbol bool
}

func syntaxError(at int, format string, args ...any) error {
	f := apierror.New(apierror.Syntax, format, args...)
	f.At = at
	return f
}

func tokens(line string) ([]token, error) {
	var all []token
	for i := 0; i < len(line); {
		c := line[i]
		switch {
		case c == ' ' || c == '\t':
			i++
		case c == '"':
			end := strings.IndexByte(line[i+1:], '"')
			if end < 0 {
				return nil, syntaxError(i+1, "the quote is not closed")
			}
			all = append(all, token{text: line[i+1 : i+1+end], at: i + 1, quoted: true})
			i += end + 2
		case strings.IndexByte("=<>,!", c) >= 0:
			size := 1
			if c == '!' {
				if i+1 >= len(line) || line[i+1] != '=' {
					return nil, syntaxError(i+1, "! stands only before =")
				}
				size = 2
			}
			all = append(all, token{text: line[i : i+size], at: i + 1, symbol: true})
			i += size
		default:
			start := i
			for i < len(line) && strings.IndexByte(" \t\"=<>,!", line[i]) < 0 {
				i++
			}
			all = append(all, token{text: line[start:i], at: start + 1})
		}
	}
	return all, nil
}

// reader reads the tokens of a line in order.
type reader struct {
	all  []token
	next int
	end  int
}

func (r *reader) atEnd() bool { return r.next == len(r.all) }

func (r *reader) take(what string) (token, error) {
	if r.atEnd() {
		return token{at: r.end}, syntaxError(r.end, "%s is missing", what)
	}
	t := r.all[r.next]
	r.next++
	return t, nil
}

// expectWord reads the next token, which must be one of the given words and not quoted.
func (r *reader) expectWord(words ...string) (string, error) {
	t, err := r.take(strings.Join(words, " or "))
	if err != nil {
		return "", err
	}
	for _, w := range words {
		if t.text == w && !t.quoted {
			return w, nil
		}
	}
	return "", syntaxError(t.at, "%q stands where one of %q should", t.text, words)
}

// name reads the next token, which must be a word or a quoted string.
func (r *reader) name(what string) (string, error) {
	t, err := r.take(what)
	if err == nil && t.symbol {
		err = syntaxError(t.at, "%q is no %s", t.text, what)
	}
	return t.text, err
}

// expectEnd returns a syntax error unless all tokens have been read.
func (r *reader) expectEnd() error {
	if r.atEnd() {
		return nil
	}
	return syntaxError(r.all[r.next].at, "%q is too much", r.all[r.next].text)
}

// rowKinds are the kinds of rows that the command show accepts.
var rowKinds = []string{"tenants", "pools", "paths", "hold", "holds", "proxyholds", "fields", "proxyfields", "backlog", "replicas", "requests", "counts", "acks", "members", "owners", "daemons", "adapters", "retirement"}

// parse parses one line (grammar: docs/asterridgectl.md).
func parse(line string) (command, error) {
	all, err := tokens(line)
	if err != nil {
		return command{}, err
	}
	r := &reader{all: all, end: len(strings.TrimRightFunc(line, unicode.IsSpace)) + 1}
	verb, err := r.expectWord("show", "why", "create", "set", "remove", "accept", "grant", "revoke", "apply", "merge", "admit", "retire", "undo", "help", "quit")
	if err != nil {
		return command{}, err
	}
	var c command
	switch verb {
	case "help":
		c.help = true
	case "quit":
		c.quit = true
	case "show":
		c, err = r.show()
	case "why":
		c, err = r.why()
	case "create", "set":
		c, err = r.declare(verb)
	case "remove":
		c, err = r.remove()
	case "accept":
		c, err = r.accept()
	case "grant":
		c, err = r.accessKeyChange("to", false)
	case "revoke":
		c, err = r.accessKeyChange("of", true)
	case "admit", "retire":
		c, err = r.members(verb)
	case "undo":
		c, err = r.undo()
	case "apply", "merge":
		c, err = r.apply(verb == "merge")
	}
	if err == nil {
		err = r.expectEnd()
	}
	return c, err
}

func (r *reader) show() (command, error) {
	what, err := r.expectWord(rowKinds...)
	if err != nil {
		return command{}, err
	}
	q := &controlplane.Query{Kind: what}
	for first := true; err == nil && !r.atEnd(); first = false {
		var c controlplane.Condition
		if first {
			_, err = r.expectWord("where")
		} else {
			_, err = r.expectWord("and")
		}
		if err == nil {
			c.Field, err = r.name("field")
		}
		if err == nil {
			c.Operator, err = r.expectWord("=", "!=", "<", ">")
		}
		if err == nil {
			c.Value, err = r.name("value")
		}
		q.Where = append(q.Where, c)
	}
	return command{query: q}, err
}

func (r *reader) why() (command, error) {
	kind, err := r.expectWord("request", "hold")
	if err != nil {
		return command{}, err
	}
	name, err := r.name("name")
	if kind == "request" {
		return command{query: &controlplane.Query{Kind: "requests", Name: name}}, err
	}
	return command{query: &controlplane.Query{Kind: "proxyholds", Where: []controlplane.Condition{{Field: "scope", Operator: "=", Value: name}}}}, err
}

// fields reads NAME = VALUE, … and stores the values in into as they are to be encoded in JSON.
func (r *reader) fields(into map[string]any) error {
	for {
		name, err := r.name("field")
		if err != nil {
			return err
		}
		if _, err := r.expectWord("="); err != nil {
			return err
		}
		value, err := r.take("value")
		if err != nil {
			return err
		}
		if value.symbol {
			return syntaxError(value.at, "%q is no value", value.text)
		}
		into[name] = value.text
		if number, err := strconv.ParseFloat(value.text, 64); err == nil && !value.quoted {
			into[name] = number
		} else if value.text == "true" && !value.quoted {
			into[name] = true
		} else if value.text == "false" && !value.quoted {
			into[name] = false
		}
		if r.atEnd() || r.all[r.next].text != "," {
			return nil
		}
		r.next++
	}
}

// configCommand returns the command for a configuration change.
func configCommand(change *controlplane.ConfigChange) command {
	return command{order: config.Key, body: change, key: &change.Key, register: config.Key}
}

// mergeCommand returns the command that merges doc into the configuration.
func mergeCommand(doc any, named string) command {
	raw, _ := json.Marshal(doc) // cannot fail: doc has only maps, slices and plain values
	return configCommand(&controlplane.ConfigChange{Text: raw, Partial: true, NameCondition: named})
}

func (r *reader) declare(verb string) (command, error) {
	words := []string{"tenant", "pool", "path", "adapter"}
	named := "new"
	if verb == "set" {
		words, named = append(words, "hold"), "known"
	}
	kind, err := r.expectWord(words...)
	if err != nil {
		return command{}, err
	}
	if kind == "hold" {
		hold := map[string]any{}
		err := r.fields(hold)
		return mergeCommand(map[string]any{"hold": hold}, ""), err
	}
	item := map[string]any{}
	if item["name"], err = r.name("name"); err == nil && (verb == "set" || !r.atEnd()) {
		err = r.fields(item)
	}
	return mergeCommand(map[string]any{kind + "s": []any{item}}, named), err
}

func (r *reader) remove() (command, error) {
	kind, err := r.expectWord("tenant", "pool", "path", "adapter")
	if err != nil {
		return command{}, err
	}
	name, err := r.name("name")
	return mergeCommand(map[string]any{"remove": map[string]any{kind + "s": []string{name}}}, ""), err
}

func (r *reader) accept() (command, error) {
	if what, err := r.expectWord("weights", "build"); err != nil || what == "build" {
		return r.build(err)
	}
	version, err := r.name("version")
	if err != nil {
		return command{}, err
	}
	if _, err := r.expectWord("for"); err != nil {
		return command{}, err
	}
	pool, err := r.name("pool")
	return mergeCommand(map[string]any{"pools": []any{map[string]any{"name": pool, "weights": version}}}, "known"), err
}

func (r *reader) accessKeyChange(link string, revoked bool) (command, error) {
	if _, err := r.expectWord("key"); err != nil {
		return command{}, err
	}
	key, err := r.name("key")
	if err != nil {
		return command{}, err
	}
	if _, err := r.expectWord(link); err != nil {
		return command{}, err
	}
	tenant, err := r.name("tenant")
	change := &controlplane.AccessKeyChange{Tenant: tenant, Hash: config.HashKey(key), Revoked: revoked}
	return command{order: "keys", body: change, key: &change.Key, register: change.Register()}, err
}

func (r *reader) members(verb string) (command, error) {
	words := []string{"core"}
	if verb == "retire" {
		words = append(words, "model")
	}
	if what, err := r.expectWord(words...); err != nil || what == "model" {
		return r.retireModel(err)
	}
	name, err := r.name("name")
	change := &membership.Change{Action: membership.Action(verb), Name: name}
	return command{order: "members", body: change, member: change}, err
}

func (r *reader) apply(partial bool) (command, error) {
	file, err := r.name("file")
	if err != nil {
		return command{}, err
	}
	o := &controlplane.ConfigChange{Partial: partial}
	if !r.atEnd() {
		if _, err := r.expectWord("expect"); err != nil {
			return command{}, err
		}
		t, err := r.take("version")
		if err != nil {
			return command{}, err
		}
		version, bad := strconv.ParseUint(t.text, 10, 64)
		if bad != nil {
			return command{}, syntaxError(t.at, "%q is no version", t.text)
		}
		o.ExpectedVersion = &version
	}
	c := configCommand(o)
	c.file = file
	return c, nil
}
