package sidecar

import (
	"errors"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/ingress"
)

const maxBodyBytes = 8 << 20 // above the limit of the gateways

// readCall reads the rest of the call.
func (s *Sidecar) readCall(r *http.Request, c *call.Call) error {
	conn := ingress.FromContext(r.Context())
	err := conn.HeadRead(r.Header)
	if err == nil {
		err = conn.Attribute("", time.Now().Add(timeoutOf(c)))
	}
	if err == nil {
		c.Body, err = conn.ReadBody(r.Body, r.ContentLength, maxBodyBytes)
	}
	if err == nil {
		err = conn.Arrived()
	}
	return err
}

// reasonUnread returns the reason of the refusal of a request that was not read to its end.
func reasonUnread(err error) string {
	var refusal *ingress.Refusal
	if errors.As(err, &refusal) {
		return refusedNoCapacity
	}
	return refusedBadRequest
}
