package router

import (
	"sync"
	"time"
)

// Bounds and smoothing of the expected response time.
const (
	minAnswerTime  = time.Second // lower bound, also the value before the first response
	answerTimeGain = 0.125       // weight of a sample in the mean, as for round-trip times of TCP (RFC 6298)
)

// answerTime is the mean time from sending a request to one of a pool's replicas to the end of the response, with queueing at the replica.
type answerTime struct {
	mu   sync.Mutex
	mean float64
}

// observe adds the time of a complete response.
func (a *answerTime) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		a.mean = float64(took)
		return
	}
	a.mean += answerTimeGain * (float64(took) - a.mean)
}

// expected returns how long a response is likely to take, between minAnswerTime and a limit.
func (a *answerTime) expected(limit time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(minAnswerTime, time.Duration(a.mean)), limit)
}
