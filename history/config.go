package history

import (
	"strings"

	"asterridge/config"
	"asterridge/fail"
)

// Of gives a declaration as the checker sees it: its items are the texts that a read shows.
func Of(d config.Declaration) Declaration {
	items := map[string]string{}
	for _, name := range d.Order {
		items[name] = string(d.Texts[name])
	}
	return Declaration{Number: d.Number, Base: d.BasedOn, Digest: d.Digest, Full: d.Full, Items: items, Removed: d.Removed}
}

// Items gives what a read showed as the checker sees it.
func Items(texts []config.Text) map[string]string {
	items := map[string]string{}
	for _, t := range texts {
		items[strings.Join([]string{t.Kind, t.Name}, "/")] = string(t.Text)
	}
	return items
}

// OutcomeOf gives what an answer to a well-formed declaration means to its caller.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Acknowledged
	case fail.Is(err, fail.Conflict), fail.Is(err, fail.OutOfRange):
		return Refused
	case fail.Of(err).Code.Ran == fail.NotRun:
		return Rejected
	}
	return Unclear
}
