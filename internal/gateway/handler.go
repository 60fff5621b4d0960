package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// serveCall answers one request of a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	accepted, err := g.accept(r)
	if err != nil {
		g.refuse(w, accepted, err, nil)
		return
	}
	g.newForwarder(w, r, accepted, arrived).run()
}

// accepted is a call that the configuration allows, with what it was judged by.
type acceptedCall struct {
	call      *call.Call
	view      *catalog.View
	route     *catalog.Route
	workspace *catalog.Workspace // nil on a public route without a key
	service   core.Service
}

// accept reads the call and checks it against the configuration in force. What it returns beside an error holds what
// was found until then.
func (g *Gateway) accept(r *http.Request) (*acceptedCall, error) {
	a := &acceptedCall{view: g.follower.View()}
	var err error
	if a.call, err = g.codec.Decode(r); err != nil {
		return a, err
	}
	if a.view.Index == nil {
		return a, fault.New(fault.NotReady, "no configuration is known yet", "come back in a moment")
	}
	if a.route = a.view.Route(a.call.Host, a.call.Path); a.route == nil {
		return a, g.unknownError(fault.NotFound, "no route matches the host and path", "correct the host or the path")
	}
	if err = g.authorize(a); err != nil {
		return a, err
	}
	a.call.Body, err = readBody(r, a.view.Configuration.Limits.BodyBytes)
	return a, err
}

// authorize finds the workspace of the call's key.
func (g *Gateway) authorize(a *acceptedCall) error {
	if !a.view.KeysRequired() {
		return nil
	}
	a.workspace = a.view.Workspace(a.call.Key)
	if a.route.Public {
		return nil
	}
	if !g.canVerifyKeys() {
		return fault.New(fault.NotReady, "the store could not be read for too long to judge keys", "come back or use another gateway")
	}
	if a.workspace == nil {
		return g.unknownError(fault.UnknownSpace, "the key belongs to no workspace", "send a key that is in force")
	}
	return nil
}

// unknown is the refusal of something that the configuration does not hold. While the view is old it may only be news.
func (g *Gateway) unknownError(kind *errorType, message, remedy string) error {
	age, known := g.follower.Age()
	if !known || age > staleViewAge {
		return fault.New(fault.NotReady, message+" in a configuration that may have been replaced", "come back in a moment")
	}
	return fault.New(kind, message, remedy)
}

// oldView is an age at which a reader has missed at least one round: two of the follower's usual waits.
const staleViewAge = 2500 * time.Millisecond

// readBody reads the whole body, so that it can be sent to a second endpoint.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit && limit > 0 {
		return nil, errTooLarge()
	}
	source := r.Body
	if limit > 0 {
		source = http.MaxBytesReader(nil, r.Body, limit)
	}
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(source, body)
	} else {
		body, err = io.ReadAll(source)
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errTooLarge()
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "the body cannot be read to its end", "send the whole body in a valid encoding")
	}
	return body, nil
}

func errTooLarge() error {
	return fault.New(fault.TooLarge, "the body is longer than the configuration allows", "send a shorter one")
}
