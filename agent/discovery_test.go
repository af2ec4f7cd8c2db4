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
