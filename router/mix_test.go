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

// chatSpeech describes ChatProtocol for scripted clients and replicas. The router assigns request IDs; the client's own tag is in a header
// that is passed through.
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
		// A 503 of any other type is a regular response of the replica here; a 429 always means that the request was not run.
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
					raw, _ := json.Marshal(router.Report{Run: "run", Number: number, Warm: true}) // this struct always encodes
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

// For any mix of faulty replicas and clients: no client gets the response of another request, no request runs twice or without having been
// sent, and no guarantee is broken.
func TestSeededMixesOfFaults(t *testing.T) { relaytest.PlaySeeds(t, mix(), *mixSeeds) }

func TestEachFaultAlone(t *testing.T) { relaytest.PlayEachAct(t, mix(), 3) }
