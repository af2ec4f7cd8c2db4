package linearizability

import (
	"strings"

	"asterridge/apierror"
	"asterridge/config"
)

// Of returns a write in the checker's form; its items are the texts that a read shows.
func Of(d config.NumberedConfig) Write {
	items := map[string]string{}
	for _, name := range d.Order {
		items[name] = string(d.Texts[name])
	}
	return Write{Number: d.Number, Base: d.BasedOn, Digest: d.Digest, Full: d.Full, Items: items, Removed: d.Removed}
}

// Items returns the content shown by a read in the checker's form.
func Items(texts []config.Text) map[string]string {
	items := map[string]string{}
	for _, t := range texts {
		items[strings.Join([]string{t.Kind, t.Name}, "/")] = string(t.Text)
	}
	return items
}

// OutcomeOf returns what an answer to a well-formed write means to its caller.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Acknowledged
	case apierror.Is(err, apierror.Conflict), apierror.Is(err, apierror.OutOfRange):
		return Refused
	case apierror.Of(err).Code.Executed == apierror.NotRun:
		return Rejected
	}
	return Unclear
}
