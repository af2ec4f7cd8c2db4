package controlplane

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/protocol"
)

// Guards against a sound member that is counted as lost: only an answer from its own address, with another incarnation, proves that its disk
// is lost, and that disk alone.
func TestOnlyAnAnswerFromTheAddressProvesADiskLost(t *testing.T) {
	is := is.New(t)
	member := config.Member{ID: 2, Name: "core-2", Address: "10.0.0.2:7000", Incarnation: "second"}
	members := []config.Member{{ID: 1, Name: "core-1", Address: "10.0.0.1:7000", Incarnation: "first"}, member}
	var lost lostDisks
	answer := func(role, address, incarnation string) bool {
		return lost.record(member, protocol.Hello{Role: role, Address: address, Incarnation: incarnation})
	}
	is.True(!answer("core", member.Address, "second"))      // it is there
	is.True(!answer("core", "10.0.0.9:7000", "third"))      // another machine
	is.True(!answer("agent", member.Address, ""))           // no disk is named
	is.Equal(len(lost.among(members)), 0)                   // nothing is proven
	is.True(answer("core", member.Address, "third"))        // another disk
	is.Equal(lost.among(members), map[uint32]bool{2: true}) // and that alone
	members[1].ID, members[1].Incarnation = 3, "third"      // the other disk is a member
	is.Equal(len(lost.among(members)), 0)
}
