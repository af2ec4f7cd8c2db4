package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/router"
)

// claimed plays claims of one key on a register that has just this op applied to it, and gives what each was answered.
func claimed(steps ...string) (answers []string) {
	fields := register.Fields{}
	for _, step := range steps {
		var nonce, state string
		_, _ = fmt.Sscan(step, &nonce, &state)
		request := Request{Claim: router.Claim{Tenant: "t", Key: "k", Nonce: nonce, State: state}, Proxy: "p.1"}
		change, err := Apply(request, fields, func(string) bool { return true })
		fields.Apply(change)
		word := "yes"
		if err != nil {
			word = apierror.Of(err).Code.Name
		}
		answers = append(answers, word)
	}
	return answers
}

// Copies of claims come late, and before the first: what was settled stays settled, and a key that was given back is free for others.
func TestLateCopiesOfClaimsMoveNothing(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		steps []string
		last  string // what the last one is answered
	}{
		{[]string{"a running", "a running", "b running"}, "key_in_progress"},
		{[]string{"a running", "a free", "b running"}, "yes"},
		{[]string{"a running", "a free", "a running", "b running"}, "yes"}, // a late copy takes no key that was given back
		{[]string{"a free", "a running", "b running"}, "yes"},              // nor does the first, if it comes behind what gives it back
		{[]string{"a running", "a ran", "a running", "b running"}, "key_ran"},
		{[]string{"a running", "a unknown", "a running", "b running"}, "key_outcome_unknown"},
		{[]string{"a ran", "a running", "b running"}, "key_ran"},
		{[]string{"a running", "a ran", "a free", "b running"}, "key_ran"},
		{[]string{"a running", "a ran", "a unknown", "b running"}, "key_ran"},
		{[]string{"a running", "a free", "b running", "a running", "c running"}, "key_in_progress"},
		{[]string{"a running", "a free", "b running", "a free", "c running"}, "key_in_progress"},
		{[]string{"a running", "a free", "b running", "b free", "a running", "c running"}, "yes"},
		{[]string{"a running", "a free", "b running", "b ran", "a free", "a running", "c running"}, "key_ran"},
	} {
		answers := claimed(c.steps...)
		is.Equal(fmt.Sprint(c.steps, " ", answers[len(answers)-1]), fmt.Sprint(c.steps, " ", c.last))
	}
}

// The bounds of what is remembered of a request that gave its key back: a late copy takes no key until as many requests as a record remembers
// have given it back since, and a released record is kept for its time.
func TestReleasedRequestsAreRememberedUpToTheBounds(t *testing.T) {
	is := is.New(t)
	late := func(later int) string {
		steps := []string{"a running", "a free"}
		for n := range later {
			steps = append(steps, fmt.Sprintf("r%d running", n), fmt.Sprintf("r%d free", n))
		}
		answers := claimed(append(steps, "a running")...)
		return answers[len(answers)-1]
	}
	for later := range maxReleased + 1 {
		is.Equal(late(later), "no_claim")
	}
	is.Equal(late(maxReleased+1), "yes")
	released := Record{State: Released}
	is.True(!released.Expired(releasedRetention, time.Hour))
	is.True(released.Expired(releasedRetention+1, time.Hour))
	is.True(!Record{State: Executed}.Expired(time.Hour, time.Hour))
}
