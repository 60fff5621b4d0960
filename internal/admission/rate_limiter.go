package admission

import (
	"sync"
	"time"
)

const (
	// rateBurst is how much of its rate an endpoint may be sent at once after a time without requests, in seconds.
	rateBurst = 0.5
	// minRequestRate is used for lower rates, 0 among them, since only an answer shows that a rate no longer applies.
	minRequestRate = 0.05
)

// RateLimiter spaces out the requests that are sent to an endpoint: a token bucket that starts empty, because the endpoint has
// just had more than it can take. It is safe for concurrent use.
type RateLimiter struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Duration // when tokens was brought up to date; 0 before the first use
}

// Take takes the token of a request that is sent now and returns true. If there is none, it returns the time until the next.
func (l *RateLimiter) Take(perSecond float64, now time.Duration) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait = l.refill(perSecond, now); wait > 0 {
		return wait, false
	}
	l.tokens--
	return 0, true
}

// Wait returns the time until the next token, 0 if there is one.
func (l *RateLimiter) Wait(perSecond float64, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(perSecond, now)
}

// refill brings the tokens up to date and returns the time until the next one. The caller holds l.mu.
func (l *RateLimiter) refill(perSecond float64, now time.Duration) time.Duration {
	rate := max(perSecond, minRequestRate)
	if l.updatedAt == 0 {
		l.updatedAt = now
	}
	elapsed := max(0, now-l.updatedAt)
	l.tokens = min(l.tokens+rate*elapsed.Seconds(), max(1, rate*rateBurst))
	l.updatedAt = max(l.updatedAt, now)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}
