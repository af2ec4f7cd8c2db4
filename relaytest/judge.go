package relaytest

import (
	"fmt"
	"strings"
)

// Rule is a rule that a mix may break.
type Rule string

// The rules that are checked.
const (
	Mixed   Rule = "MIXED"   // an answer that is not the replica's whole one to this very request
	Unasked Rule = "UNASKED" // a run of what nobody has sent, or of a request that was changed
	Twice   Rule = "TWICE"   // more runs than sends of a request that may not be repeated
	Refused Rule = "REFUSED" // a promise that it has not run, of one that has
	Order   Rule = "ORDER"   // a stream's piece that is missing, comes twice, or is another run's
	Lost    Rule = "LOST"    // no answer though the replica's was by the book
	Stuck   Rule = "STUCK"   // no service any more after the trouble
)

// Finding is one breach of a rule.
type Finding struct {
	Rule Rule
	Text string
}

// String names the rule and what broke it.
func (f Finding) String() string { return string(f.Rule) + ": " + f.Text }

// promises are the statuses that guarantee: not executed, now or later.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check is one comparison of ledgers.
type check struct {
	*World
	byStamp map[string]*Run
	byTag   map[string][]*Run
	found   []Finding
}

// judge compares both ledgers.
func (w *World) judge() []Finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &check{World: w, byStamp: map[string]*Run{}, byTag: map[string][]*Run{}}
	for _, r := range w.runs {
		j.byStamp[r.Stamp] = r
		j.byTag[r.Tag] = append(j.byTag[r.Tag], r)
	}
	for _, r := range w.runs {
		j.run(r)
	}
	for _, tag := range w.order {
		j.twice(w.sent[tag])
	}
	for _, g := range w.got {
		j.answer(g)
	}
	return j.found
}

// add records a breach.
func (j *check) add(rule Rule, tag, format string, args ...any) {
	var acts []string
	for _, r := range j.byTag[tag] {
		acts = append(acts, r.Act)
	}
	j.found = append(j.found, Finding{rule, fmt.Sprintf("%s: %s; replicas: %s", tag, fmt.Sprintf(format, args...), strings.Join(acts, ", "))})
}

// run checks what a replica received.
func (j *check) run(r *Run) {
	s := j.sent[r.Tag]
	switch {
	case s == nil:
		j.add(Unasked, r.Tag, "nobody sent it")
	case s.Smuggled:
		j.add(Unasked, r.Tag, "smuggled")
	case r.Method != s.Method || r.Target != s.Target || r.Body != s.Body:
		j.add(Unasked, r.Tag, "%s %s %.40q was sent, %s %s %.40q came", s.Method, s.Target, s.Body, r.Method, r.Target, r.Body)
	}
}

// twice checks that a request without the right to be repeated ran at most once.
func (j *check) twice(s *Sent) {
	executed, promised := 0, 0
	for _, r := range j.byTag[s.Tag] {
		if r.HasRun {
			executed++
		}
	}
	for _, g := range j.got {
		if g.Tag == s.Tag && promises[g.Status] {
			promised++
		}
	}
	if s.IsRepeatable() {
		return
	}
	if executed > s.Times {
		j.add(Twice, s.Tag, "%d runs of %d sends", executed, s.Times)
	} else if promised > s.Times-executed {
		j.add(Refused, s.Tag, "%d runs of %d sends, %d promises", executed, s.Times, promised)
	}
}

// answer checks what the client received.
func (j *check) answer(g Got) {
	s := j.sent[g.Tag]
	switch {
	case g.Stray != "":
		j.add(Mixed, g.Tag, "bytes that are no answer: %.60q", g.Stray)
	case g.Status == 0:
		j.silence(g)
	case strings.HasPrefix(g.Tag, "last-") && g.Status != 200:
		j.add(Stuck, g.Tag, "status %d when all is well: %.80s", g.Status, g.Body)
	case g.Stamp == "" && g.Status/100 == 2:
		j.add(Mixed, g.Tag, "a success without a replica's stamp")
	case g.Stamp != "":
		j.stamped(s, g)
	case g.Status < 200 || g.Status > 599:
		j.add(Mixed, g.Tag, "status %d", g.Status)
	}
}

// silence checks a connection that ended, or stayed open, without an answer.
func (j *check) silence(g Got) {
	if !g.Patient {
		return
	}
	for _, r := range j.byTag[g.Tag] {
		if !r.Proper || r.Ended.IsZero() || r.Ended.Sub(g.From) > j.Speech.Deadline {
			return
		}
	}
	j.add(Lost, g.Tag, "no answer: %v", g.Why)
}

// stamped checks an answer that claims to come from a replica.
func (j *check) stamped(s *Sent, g Got) {
	r := j.byStamp[g.Stamp]
	switch {
	case r == nil || r.Tag != g.Tag:
		j.add(Mixed, g.Tag, "another request's answer, %s", g.Stamp)
	case r.Status != g.Status:
		j.add(Mixed, g.Tag, "status %d, the replica's was %d", g.Status, r.Status)
	case s.Method == "HEAD":
	case g.Complete && g.Unframed && g.Body != "":
		j.add(Mixed, g.Tag, "nothing tells the answer's end")
	case r.Stream:
		j.stream(s, r, g)
	case g.Complete && g.Body != r.Answer:
		j.add(Mixed, g.Tag, "%d bytes as whole, the replica's has %d", len(g.Body), len(r.Answer))
	case g.Complete && !r.Complete && g.Status/100 == 2:
		j.add(Mixed, g.Tag, "it looks complete, and the replica broke off")
	case !strings.HasPrefix(r.Answer, g.Body):
		j.add(Mixed, g.Tag, "other bytes than the replica's")
	}
}

// stream checks the chunks of a stream: a prefix of the expected ones, and all of them if the answer ended as complete.
func (j *check) stream(s *Sent, r *Run, g Got) {
	due := r.Answer
	if s.Kind == Resumable {
		due = ""
		for n := s.Last + 1; n <= pieces(s.Tag); n++ {
			due += fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, s.Tag, strings.Repeat("x", int(n)))
		}
		due += j.Speech.EndMark
	}
	switch {
	case !strings.HasPrefix(due, g.Body):
		j.add(Order, g.Tag, "%.200q came, due was %.200q", g.Body, due)
	case g.Complete && g.Body != due:
		j.add(Order, g.Tag, "it looks complete after %d of %d bytes", len(g.Body), len(due))
	case g.Complete && s.Kind == Stream && !r.Complete:
		j.add(Order, g.Tag, "it looks complete, and the replica broke off")
	}
}
