package router_test

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/register"
	"asterridge/relaytest"
	"asterridge/router"
	"asterridge/sim"
)

var (
	mixSeeds = flag.Int("seeds", 150, "how many seeded mixes of wrong answers and clients are played")
	mixFirst = flag.Uint64("first", 1, "the first of them")
)

const mixPaths = `{"pools":[{"name":"back","kind":"web"}],"paths":[
	{"name":"again","address":"/again/","pool":"back","public":true,"repeatable":true,"deadline_ms":3000},
	{"name":"once","address":"/once/","pool":"back","public":true,"deadline_ms":3000},
	{"name":"stream","address":"/stream/","pool":"back","public":true,"deadline_ms":3000}]}`

// chatSpeech is the product's own manner, between a scripted client and scripted replicas. The router names each request; the client's tag
// is a header of its own, which is handed on.
func chatSpeech() relaytest.Speech {
	refusal := func(status int, kind string) relaytest.Refusal {
		return relaytest.Refusal{Status: status, Body: `{"error":{"type":"` + kind + `","message":"not run"}}`}
	}
	return relaytest.Speech{
		Dialect: router.ChatProtocol{}, TagHeader: "X-Tag", IDHeader: "X-Request-Id", StampHeader: "X-Stamp", EndMark: "data: [DONE]",
		Lines:    func(relaytest.Kind) []string { return nil },
		Path:     func(kind relaytest.Kind) string { return "/" + []string{"again", "once", "stream"}[kind] + "/" },
		Deadline: 3 * time.Second,
		Refusals: []relaytest.Refusal{refusal(503, "overloaded"), refusal(503, "leaving"), refusal(429, "busy"), refusal(412, "weights_mismatch")},
		// A 503 of any other kind is the replica's own answer here, and a 429 always says that it was not run.
		Declare: func(s *sim.Testbed) {
			b, err := config.Parse([]byte(mixPaths), nil, false)
			if err != nil {
				panic(err)
			}
			replicas := []config.Replica{{Name: "r-1", Address: relaytest.Replicas[0], Pool: "back", State: "present", Limit: 4},
				{Name: "r-2", Address: relaytest.Replicas[1], Pool: "back", State: "present", Limit: 4}}
			s.Repeat(500*time.Millisecond, func(number uint64) {
				reports := register.Fields{}
				for _, r := range replicas {
					raw, _ := json.Marshal(router.Report{Run: "run", Number: number, Warm: true}) // a plain struct always encodes
					reports[r.Name] = raw
				}
				s.Publish(router.ReportsKey, reports)
			})
			s.Configure(b, replicas...)
		},
	}
}

func mix() relaytest.Mix {
	return relaytest.Mix{Seed: *mixFirst, Speech: chatSpeech(), Router: router.Options{Name: "proxy-1", Log: zerolog.Nop(), PrefixIndexSize: 1000}}
}

// Whatever replicas and clients do wrong, in any mix: no answer is another request's, no request runs twice or unasked, no promise is broken.
func TestSeededMixesOfFaults(t *testing.T) { relaytest.PlaySeeds(t, mix(), *mixSeeds) }

func TestEachFaultAlone(t *testing.T) { relaytest.PlayEachAct(t, mix(), 3) }
