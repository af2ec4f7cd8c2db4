package linearizability

import (
	"strings"

	"asterridge/apierror"
	"asterridge/config"
)

// Of converts a numbered configuration into the checker's form. Its items are the texts that a read returns.
func Of(d config.NumberedConfig) Write {
	items := map[string]string{}
	for _, name := range d.Order {
		items[name] = string(d.Texts[name])
	}
	return Write{Number: d.Number, Base: d.BasedOn, Digest: d.Digest, Full: d.Full, Items: items, Removed: d.Removed}
}

// Items converts the content that a read returned into the checker's form.
func Items(texts []config.Text) map[string]string {
	items := map[string]string{}
	for _, t := range texts {
		items[strings.Join([]string{t.Kind, t.Name}, "/")] = string(t.Text)
	}
	return items
}

// OutcomeOf returns the outcome that the error of a well-formed write means to its caller.
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
