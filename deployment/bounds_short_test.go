package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A ModelVersion limit close to or below the margin must still limit old versions: an option of zero would select the default of 12 s.
func TestShortModelVersionLimitIsKept(t *testing.T) {
	is := is.New(t)
	old := Bounds{ModelVersion: 1500 * time.Millisecond}.Proxy().OldWeightsLimit
	is.True(old != 0) // 0 would select the default of 12 s
	is.True(old <= 1500*time.Millisecond)
}
