package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/ingress"
)

// serveCall handles one request from a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	accepted, err := g.accept(r)
	defer accepted.end()
	if err != nil {
		g.writeError(w, accepted, err, nil)
		return
	}
	f := g.newForwarder(w, r, accepted, arrived)
	if err := g.checkStop(f.deadline); err != nil {
		f.cancel()
		g.writeError(w, accepted, err, nil)
		return
	}
	f.run()
}

// acceptedCall is a call that the configuration allows, with the view, route and workspace that it was checked against.
type acceptedCall struct {
	call      *call.Call
	view      *catalog.View
	route     *catalog.Route
	workspace *catalog.Workspace // nil on a public route without a key
	service   core.Service       // set by newForwarder
	conn      *ingress.Conn      // on which it arrived; nil without limits
	end       func()             // removes the call from the open requests
}

// accept reads the call and checks it against the current configuration. The result is never nil. Beside an error it holds
// the fields that were set before the failure.
func (g *Gateway) accept(r *http.Request) (*acceptedCall, error) {
	arrived := time.Now()
	a := &acceptedCall{view: g.follower.View(), conn: ingress.FromContext(r.Context()), end: func() {}}
	err := a.conn.HeadRead(r.Header)
	if err != nil {
		return a, err
	}
	if a.call, err = g.codec.Decode(r); err != nil {
		return a, err
	}
	a.end = g.open.Add(string(a.call.ID)) // before the body, which may still be arriving
	if err = g.resolve(a); err != nil {
		return a, err
	}
	return a, a.readBody(r, arrived)
}

// resolve sets the route and the workspace of the call, and returns an error if the configuration does not allow the call.
func (g *Gateway) resolve(a *acceptedCall) error {
	if a.view.Index == nil {
		return fault.New(fault.NotReady, "no configuration is known yet", "retry shortly")
	}
	if a.route = a.view.Route(a.call.Host, a.call.Path); a.route == nil {
		return g.unknownError(fault.NotFound, "no route matches the host and path", "correct the host or the path")
	}
	return g.authorize(a)
}

// authorize sets the workspace of the call's key, and returns an error if the route needs a valid key and there is none.
func (g *Gateway) authorize(a *acceptedCall) error {
	if !a.view.KeysRequired() {
		return nil
	}
	a.workspace = a.view.Workspace(a.call.APIKey)
	if a.workspace != nil {
		a.call.Workspace = a.workspace.Name
	}
	if a.route.Public {
		return nil
	}
	if err := g.checkView(); err != nil {
		return err
	}
	if a.workspace == nil {
		return g.unknownError(fault.UnknownWorkspace, "the key belongs to no workspace", "send a valid key")
	}
	return nil
}

// unknownError returns the error for a route or key that the configuration does not contain. With a stale view it returns
// NotReady, since a newer configuration may contain it.
func (g *Gateway) unknownError(kind *errorType, message, remedy string) error {
	if !ageOf(g.follower.Age()).within(staleViewAge) {
		return fault.New(fault.NotReady, message+" in a configuration that may have been replaced", "retry shortly")
	}
	return fault.New(kind, message, remedy)
}

// readBody reads the whole body, so that it can be sent again to another endpoint.
func (a *acceptedCall) readBody(r *http.Request, arrived time.Time) error {
	caller := string(a.call.Workspace)
	if err := a.conn.Attribute(caller, arrived.Add(timeoutOf(a.route, a.call))); err != nil {
		return err
	}
	var err error
	a.call.Body, err = a.conn.ReadBody(r.Body, r.ContentLength, a.view.Configuration.Limits.BodyBytes)
	var refusal *ingress.Refusal
	switch {
	case errors.Is(err, ingress.ErrBodyTooLong):
		return fault.New(fault.TooLarge, "the body is longer than the configuration allows", "send a shorter body")
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		return fault.Wrap(err, fault.BadRequest, "the body cannot be read completely", "send the whole body in a valid encoding")
	}
	return a.conn.Arrived()
}
