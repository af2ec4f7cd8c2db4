package agent

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
)

// hello names one member, and the list's version if it is not 0.
func hello(member string, version uint64) protocol.Hello {
	m := config.Member{ID: 1, Name: member, Address: member}
	h := protocol.Hello{Members: []config.Member{m}}
	if version > 0 {
		raw, _ := json.Marshal(m) // a plain struct always encodes
		h.MembersRecord = &membership.Record{Revision: register.Revision{Epoch: 1, Version: version}, Fields: register.Fields{member: raw}}
	}
	return h
}

// Guards against an agent that keeps to the first of two lists without a version for ever: restarted cores of an earlier build name such
// lists, and either may be the outdated one. One search takes one of them at most, so that each gets its time.
func TestListsWithoutVersionAreTriedInTurn(t *testing.T) {
	is := is.New(t)
	a := New(daemon.Host{Name: "agent-1", Net: &rpc.TCP{}, Log: zerolog.Nop()}, nil, Options{})
	search := func(hellos ...protocol.Hello) string {
		triedUnversioned := false
		for _, h := range hellos {
			a.adoptMembers(h, &triedUnversioned)
		}
		return a.members[0].Name
	}
	is.Equal(search(hello("outdated", 0), hello("present", 0)), "outdated")
	is.Equal(search(hello("outdated", 0), hello("present", 0)), "present")
	is.Equal(search(hello("present", 0), hello("outdated", 0)), "outdated")
	is.Equal(search(hello("older", 5), hello("present", 21), hello("outdated", 0)), "present")
	is.Equal(search(hello("older", 5), hello("outdated", 0)), "present") // a version is never given up for a list without one
}

// A refusing proxy's agent says whether it found no core, hears too few of them, or waits for a change to be decided.
func TestReasonsForNotBeingCurrentAreToldApart(t *testing.T) {
	is := is.New(t)
	a := New(daemon.Host{Name: "agent-1", Net: &rpc.TCP{}, Log: zerolog.Nop()}, nil, Options{})
	reason := func() string {
		a.remaining()
		return a.notCurrentReason
	}
	a.noteSearch(3, 1)
	is.Equal(reason(), "no core found yet: 1 of 3 addresses answered, none named the members")
	tried := false
	a.adoptMembers(hello("core-1", 5), &tried)
	is.Equal(reason(), "fewer than a majority of cores answer (list of version 5: 0 of 1 answer, 1 needed, no answer from core-1)")
	a.previousMembers = []config.Member{{Name: "core-1"}, {Name: "core-2"}}
	is.Equal(reason(), "fewer than a majority of cores answer (list of version 5: 0 of 1 answer, 1 needed, no answer from core-1; "+
		"previous list of version 5: 0 of 2 answer, 2 needed, no answer from core-1 core-2)")
	is.Equal(a.describeUndecided(config.Key, register.Revision{Epoch: 1, Version: 7}),
		"a change of "+config.Key+" is undecided (version 7 of epoch 1 at 0 of 1: )")
}
