package router

import (
	"sync"
	"time"
)

// Bounds and smoothing of the expected time of an answer.
const (
	minAnswerTime = time.Second // expected until an answer has been seen, and the least
	answerTimeGain  = 0.125       // of a sample in the mean, as for a transport's round trips (RFC 6298)
)

// answerTime is how long a pool's replicas take from the sending of a request to the end of its answer, their own queues included.
type answerTime struct {
	mu   sync.Mutex
	mean float64
}

// observe adds the time of a complete answer.
func (a *answerTime) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		a.mean = float64(took)
		return
	}
	a.mean += answerTimeGain * (float64(took) - a.mean)
}

// expected is how long an answer is likely to take, within bounds.
func (a *answerTime) expected(limit time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(minAnswerTime, time.Duration(a.mean)), limit)
}
