package graceful

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxListedRequests bounds the log lines about requests that a stop ends.
	maxListedRequests = 20
	// endTimeout bounds the wait for handlers whose connections are closed. They have their last lines to log.
	endTimeout = 100 * time.Millisecond
)

// OpenRequests are the requests that a process has not answered yet. The zero value is empty. It is safe for concurrent use.
type OpenRequests struct {
	mu       sync.Mutex
	requests map[*openRequest]struct{}
}

type openRequest struct {
	id      string
	arrived time.Time
}

// Add adds a request and returns the function that removes it.
func (o *OpenRequests) Add(id string) (remove func()) {
	request := &openRequest{id: id, arrived: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = make(map[*openRequest]struct{})
	}
	o.requests[request] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.requests, request)
	}
}

// oldestFirst returns the open requests.
func (o *OpenRequests) oldestFirst() []*openRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	open := make([]*openRequest, 0, len(o.requests))
	for request := range o.requests {
		open = append(open, request)
	}
	slices.SortFunc(open, func(a, b *openRequest) int { return a.arrived.Compare(b.arrived) })
	return open
}

// CloseExpired closes the server after a Shutdown that ended with the error, logs the requests that this ends, the oldest
// maxListedRequests of them by their ids, and gives their handlers endTimeout to end.
func (o *OpenRequests) CloseExpired(server *Server, shutdownErr error, logger *log.Logger) {
	open := o.oldestFirst()
	logger.Warn().Int("requests", len(open)).Err(shutdownErr).Msg("grace period expired with open requests")
	for _, request := range open[:min(len(open), maxListedRequests)] {
		logger.Warn().Str("request", request.id).Dur("open_for", time.Since(request.arrived)).Msg("request ended by the stop")
	}
	_ = server.Close()
	for deadline := time.Now().Add(endTimeout); len(o.oldestFirst()) > 0 && time.Now().Before(deadline); {
		time.Sleep(checkInterval)
	}
}
