package relaytest_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/relaytest"
	"asterridge/router"
	"asterridge/sim"
)

// Faults that are planted into a relay.
const (
	noFault       = ""
	resends       = "it sends again after a reset"
	passesForeign = "it passes on an answer under another's id"
	skipsPiece    = "it leaves out a piece of a stream"
	promises      = "it promises that what was lost has not run"
	looksWhole    = "it ends a broken answer as if it were whole"
	changes       = "it changes the path"
	restamps      = "it gives a replica's failure another status"
	drops         = "it drops a whole answer"
	sticks        = "it takes no more requests after some"
)

// simple is a relay that asks one replica, and the other if the first says that it has not run the request.
type simple struct {
	fault  string
	speech relaytest.Speech
	client *http.Client
	count  atomic.Int64
}

func plant(fault string) relaytest.Relay {
	return func(s *sim.Testbed, speech relaytest.Speech) http.Handler {
		transport := &http.Transport{DialContext: s.Net.Host("10.0.1.1").DialContext, DisableCompression: true, DisableKeepAlives: true}
		client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		return &simple{fault: fault, speech: speech, client: client}
	}
}

func (p *simple) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if len(q.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close") // it may have had a length too
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if p.fault == sticks && p.count.Add(1) > 10 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, stop := context.WithTimeout(q.Context(), 3*time.Second)
	defer stop()
	for _, replica := range relaytest.Replicas {
		answer, err := p.send(ctx, q, replica, body)
		switch {
		case err != nil && p.fault == resends:
			continue
		case err != nil && p.fault == promises:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadGateway)
			return
		case p.fault == drops && q.Method == http.MethodPut:
			_ = answer.Body.Close()
			panic(http.ErrAbortHandler)
		case answer.Header.Get("Not-Run") != "":
			_ = answer.Body.Close()
			continue
		}
		p.pass(w, q, answer)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// send gives an answer that is this request's, or an error.
func (p *simple) send(ctx context.Context, q *http.Request, replica string, body []byte) (*http.Response, error) {
	onward := q.Clone(ctx)
	onward.URL, onward.RequestURI = &url.URL{Scheme: "http", Host: replica, Opaque: q.RequestURI}, ""
	if p.fault == changes {
		onward.URL.Opaque += "/"
	}
	onward.Body, onward.ContentLength, onward.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	onward.Header.Del("Connection")
	onward.Header.Del("Content-Length")
	answer, err := p.client.Do(onward)
	if err != nil {
		return nil, err
	}
	foreign := answer.Header.Get(p.speech.IDHeader) != q.Header.Get(p.speech.IDHeader)
	unframed := answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && q.Method != http.MethodHead
	none := answer.StatusCode < 200 || answer.StatusCode > 599
	bare := answer.StatusCode/100 == 2 && answer.Header.Get(p.speech.StampHeader) == ""
	promise := answer.Header.Get("Not-Run") == "" && answer.StatusCode == http.StatusServiceUnavailable
	if foreign && p.fault != passesForeign || unframed || none || bare || promise {
		_ = answer.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return answer, nil
}

func (p *simple) pass(w http.ResponseWriter, q *http.Request, answer *http.Response) {
	defer answer.Body.Close()
	w.Header().Set(p.speech.StampHeader, answer.Header.Get(p.speech.StampHeader))
	status := answer.StatusCode
	if p.fault == restamps && status/100 != 2 {
		status = http.StatusBadGateway
	}
	if answer.ContentLength >= 0 && p.fault == noFault {
		w.Header().Set("Content-Length", answer.Header.Get("Content-Length"))
	}
	w.WriteHeader(status)
	if q.Method == http.MethodHead {
		return
	}
	stream := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if stream && p.fault == skipsPiece {
		in := bufio.NewReader(answer.Body)
		for range 3 {
			_, _ = in.ReadString('\n')
		}
		_, _ = io.Copy(w, in)
		return
	}
	if _, err := io.Copy(w, answer.Body); err != nil && p.fault != looksWhole {
		panic(http.ErrAbortHandler)
	}
}

func planted(fault string) relaytest.Mix {
	return relaytest.Mix{Relay: plant(fault), Router: router.Options{Name: "unused", Log: zerolog.Nop()}, Speech: relaytest.Speech{
		Dialect: router.ChatProtocol{}, TagHeader: "X-Tag", IDHeader: "X-Tag", StampHeader: "X-Stamp", Stamped: true,
		Lines:      func(relaytest.Kind) []string { return nil },
		Path:       func(relaytest.Kind) string { return "/any/" },
		Refusals:   []relaytest.Refusal{{Status: 503, Lines: []string{"Not-Run: 1"}}},
		Unpromised: []int{503},
		Deadline:   3 * time.Second,
		Declare:    func(*sim.Testbed) {},
	}}
}

// A relay that does as it should breaks nothing, so that what the judge finds in the others is the planted fault's.
func TestJudgeFindsEachPlantedFault(t *testing.T) {
	relaytest.Quiet(t)
	for _, c := range []struct {
		fault string
		rules []relaytest.Rule
	}{
		{noFault, nil},
		{resends, []relaytest.Rule{relaytest.Twice}},
		{passesForeign, []relaytest.Rule{relaytest.Mixed}},
		{skipsPiece, []relaytest.Rule{relaytest.Order}},
		{promises, []relaytest.Rule{relaytest.Refused}},
		{looksWhole, []relaytest.Rule{relaytest.Mixed, relaytest.Order}},
		{changes, []relaytest.Rule{relaytest.Unasked}},
		{restamps, []relaytest.Rule{relaytest.Mixed}},
		{drops, []relaytest.Rule{relaytest.Lost}},
		{sticks, []relaytest.Rule{relaytest.Stuck}},
	} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			missing, seeds := c.rules, uint64(400)
			if c.fault == noFault {
				seeds = 40
			}
			for seed := uint64(1); seed <= seeds && (c.fault == noFault || len(missing) > 0); seed++ {
				synctest.Test(t, func(t *testing.T) {
					m := planted(c.fault)
					m.Seed = seed
					for _, f := range relaytest.Play(m) {
						missing = slices.DeleteFunc(missing, func(r relaytest.Rule) bool { return r == f.Rule })
						if c.fault == noFault {
							t.Error(seed, f)
						}
					}
				})
			}
			is.Equal(len(missing), 0)
		})
	}
}
