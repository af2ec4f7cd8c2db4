package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A bound on old versions that is shorter than the margin leaves them no time; it does not mean that the usual time holds.
func TestShortBoundOnVersionsIsKept(t *testing.T) {
	is := is.New(t)
	old := Bounds{ModelVersion: 1500 * time.Millisecond}.Proxy().OldWeightsLimit
	is.True(old != 0) // 0 stands for 12 s
	is.True(old <= 1500*time.Millisecond)
}
