// Package call holds a caller's request and an endpoint's answer as the product sees them, and the codec that
// translates them from and to the headers that callers and endpoints speak.
package call

import (
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// Call is a caller's request.
type Call struct {
	ID           core.RequestID // the caller's own id of this request; a caller's retry has another one
	Method       string
	Host         string // without a port
	Path         string // without the query, as it was sent
	Target       string // path and query, as they were sent
	Key          string // "" when none was sent
	Patience     time.Duration
	ResumeAfter  string // last event that the caller has of a stream; "" for none
	Model        core.Model
	PromptTokens int
	OutputTokens int         // most tokens that the answer may have
	OutputHint   int         // the caller's estimate of the answer's tokens; 0 for none
	Forward      http.Header // what goes to the endpoint unchanged
	Body         []byte
}

// Send is what the system adds to a call on its way to an endpoint.
type Send struct {
	Patience    time.Duration      // how much longer the caller waits; 0 when unstated
	Endpoint    catalog.EndpointID // life of the endpoint that it is meant for; another one refuses it
	Workspace   core.Workspace     // "" for none
	Version     int64              // weights that must run it; 0 for any
	ResumeAfter string             // last event that the caller has of the stream; "" for none
}

// Reply is what the header of an answer says.
type Reply struct {
	ID     core.RequestID // of the request that it answers; "" when it names none
	Signed bool           // it bears the endpoint's signature
	NotRun bool           // the endpoint states that it did not and will not run the request
	ColdIn time.Duration
	Load   *Load // nil when it tells none
}

// Load is what an endpoint bears at the moment, in requests.
type Load struct {
	Running int
	Waiting int
	Limit   int
}

// Codec translates headers. It decides nothing.
type Codec interface {
	// Decode reads everything but the body of a caller's request.
	Decode(request *http.Request) (*Call, error)
	// DecodeForwarded reads what another process of the system has sent on. Its Forward holds what that process added.
	DecodeForwarded(request *http.Request) (*Call, error)
	// Encode returns the header to be sent to the endpoint.
	Encode(c *Call, send Send) http.Header
	// EncodeForwarded returns the header of a call that another process of the system has sent on.
	EncodeForwarded(c *Call, send Send) http.Header
	// Reply reads the header of an answer.
	Reply(status int, header http.Header) Reply
	// Answer returns the header that goes to the caller: the endpoint's own, without what concerns one connection.
	Answer(header http.Header) http.Header
}
