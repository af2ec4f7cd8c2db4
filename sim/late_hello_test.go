package sim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/protocol"
	"asterridge/rpc"
)

// Guards against half of the members that remove one of the others, which are cut off and sound, since a late hello of an earlier life of
// its machine says that its disk is lost.
func TestLateHelloIsNoProofOfALostDisk(t *testing.T) {
	t.Parallel()
	inReplaceable(t, 504, 4, 1, func(is *is.I, f *replaceable) {
		half, others := []string{CoreIP(0), CoreIP(1)}, []string{CoreIP(2), CoreIP(3)}
		f.Net.PartitionGroups(half, others, true)
		f.Net.PartitionGroups(others, half, true)
		version := f.core(0).Membership().Version
		for range 30 {
			for core := range 2 {
				late := protocol.Hello{Name: "core-3", Role: "core", Address: At(CoreIP(2)), Zone: "zone-3", Incarnation: "an earlier life"}
				_, err := rpc.Call[protocol.Hello](context.Background(), f.Wire, At(CoreIP(core)), "/core/hello", late)
				is.NoErr(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for core := range 2 {
			is.Equal(f.core(core).Membership().Version, version)
			is.Equal(len(f.core(core).Membership().Members), 4)
		}
		f.Net.PartitionGroups(half, others, false)
		f.Net.PartitionGroups(others, half, false)
		f.checkNothingLost(is)
	})
}
