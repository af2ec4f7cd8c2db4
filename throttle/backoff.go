package throttle

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"asterridge/config"
)

// maxDoublings is the number of attempts after which a backoff no longer doubles.
const maxDoublings = 6

// RetryAfter parses the values of the Retry-After header in both of its forms: whole seconds, or a date, which is compared with now (wall clock
// time). The delay is at most limit. ok is false if there is no value, values differ, the date is not in the future, or a value is invalid.
func RetryAfter(values []string, now time.Time, limit time.Duration) (delay time.Duration, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	for _, other := range values[1:] {
		if strings.TrimSpace(other) != strings.TrimSpace(values[0]) {
			return 0, false
		}
	}
	text := strings.TrimSpace(values[0])
	if text != "" && strings.Trim(text, "0123456789") == "" {
		seconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || seconds > int64(limit/time.Second) {
			return limit, true
		}
		return time.Duration(seconds) * time.Second, true
	}
	if at, err := http.ParseTime(text); err == nil && at.After(now) {
		return min(at.Sub(now), limit), true
	}
	return 0, false
}

// Backoff returns a random delay after an attempt, counted from 0, to which the replica gave no Retry-After: the rule's base, doubled with each
// attempt up to its cap, minus a random part of at most the rule's jitter.
func Backoff(rule config.ThrottleRule, attempt int, random *rand.Rand) time.Duration {
	step := time.Duration(rule.BaseMs) * time.Millisecond << min(attempt, maxDoublings)
	step = min(step, time.Duration(rule.CapMs)*time.Millisecond)
	least := time.Duration(float64(step) * (1 - rule.Jitter))
	return least + time.Duration(random.Int64N(int64(step-least)+1))
}
