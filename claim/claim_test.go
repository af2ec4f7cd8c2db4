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

// answersTo applies a series of claims of one key to a register and returns the answer to each. A step is a nonce and a state.
func answersTo(steps ...string) (answers []string) {
	fields := register.Fields{}
	for _, step := range steps {
		var nonce, state string
		_, _ = fmt.Sscan(step, &nonce, &state)
		request := Request{Claim: router.Claim{Tenant: "t", Key: "k", Nonce: nonce, State: state}, Proxy: "p.1"}
		change, err := Apply(request, fields, func(string) bool { return true })
		fields.Apply(change)
		answer := "yes"
		if err != nil {
			answer = apierror.Of(err).Code.Name
		}
		answers = append(answers, answer)
	}
	return answers
}

// Duplicates of claim messages may arrive late, or a release before its claim: an outcome that was recorded stays, and a released key is free
// for other requests.
func TestLateAndDuplicateMessagesDoNotChangeSettledClaims(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		steps []string
		last  string // the answer to the last step
	}{
		{[]string{"a running", "a running", "b running"}, "key_in_progress"},
		{[]string{"a running", "a free", "b running"}, "yes"},
		{[]string{"a running", "a free", "a running", "b running"}, "yes"}, // a late duplicate does not take a released key again
		{[]string{"a free", "a running", "b running"}, "yes"},              // nor does the first claim if it arrives after the release
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
		answers := answersTo(c.steps...)
		is.Equal(fmt.Sprint(c.steps, " ", answers[len(answers)-1]), fmt.Sprint(c.steps, " ", c.last))
	}
}

// A late duplicate of a released claim is rejected until more than maxReleased other requests have released the key since, and
// a released record is kept for releasedRetention.
func TestReleasesAreRememberedUpToTheirLimits(t *testing.T) {
	is := is.New(t)
	answerToLateClaim := func(releasesSince int) string {
		steps := []string{"a running", "a free"}
		for n := range releasesSince {
			steps = append(steps, fmt.Sprintf("r%d running", n), fmt.Sprintf("r%d free", n))
		}
		answers := answersTo(append(steps, "a running")...)
		return answers[len(answers)-1]
	}
	for releasesSince := range maxReleased + 1 {
		is.Equal(answerToLateClaim(releasesSince), "no_claim")
	}
	is.Equal(answerToLateClaim(maxReleased+1), "yes")
	released := Record{State: Released}
	is.True(!released.Expired(releasedRetention, time.Hour))
	is.True(released.Expired(releasedRetention+1, time.Hour))
	is.True(!Record{State: Executed}.Expired(time.Hour, time.Hour))
}
