// Package call defines a caller's request and an endpoint's response independently of their headers, and the codec that
// translates them from and to the headers that callers and endpoints use.
package call

import (
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// Call is a caller's request.
type Call struct {
	ID           core.RequestID // id from the caller; a retry by the caller has another id
	Method       string
	Host         string         // without a port
	Path         string         // without the query, as received
	Target       string         // path and query, as received
	APIKey       string         // "" if none was sent
	Workspace    core.Workspace // of the key; "" for none. Callers cannot state it
	Timeout      time.Duration
	ResumeAfter  string // id of the last event of a stream that the caller has received; "" for none
	Model        core.Model
	PromptTokens int
	Prompt       string            // the parts of the prompt as the caller stated them
	SharedParts  []core.PromptPart // parts of the prompt that other requests may have too, in order
	OmitsParts   bool              // the prompt has further shared parts
	OutputTokens int               // limit on the tokens of the response
	OutputHint   int               // the caller's estimate of the tokens of the response; 0 for none
	Forward      http.Header       // headers that are sent to the endpoint unchanged
	Body         []byte
}

// SendOptions holds what the system adds to a call when it sends it to an endpoint.
type SendOptions struct {
	Timeout     time.Duration      // how much longer the caller waits; 0 when unstated
	Endpoint    catalog.EndpointID // incarnation of the endpoint that the call is meant for; any other refuses it
	Workspace   core.Workspace     // "" for none
	Version     int64              // weights version that must run the call; 0 for any
	ResumeAfter string             // id of the last event of the stream that the caller has received; "" for none
	Urgency     *int               // 0 for the most urgent to MaxUrgency; nil if unstated
}

// MaxUrgency is the least urgent value of SendOptions.Urgency.
const MaxUrgency = 9

// ResponseInfo is the information in the header of a response.
type ResponseInfo struct {
	ID            core.RequestID // request that the response answers; "" if the header names none
	Signed        bool           // the header carries the endpoint's signature
	NotRun        bool           // the endpoint states that it did not and will not run the request
	ColdRemaining time.Duration  // how much longer the endpoint stays cold
	Load          *Load          // nil if the header has none or its counts are invalid
	LoadErr       error          // why a figure of the stated load is not used; nil if all are
	Leaving       bool           // the endpoint is shutting down and takes no new requests
	HoldOff       time.Duration  // how long the endpoint wants no requests from this host; 0 if unstated
	Version       int64          // of the model's weights with which the response begins; 0 if unstated
	RequestRate   *float64       // requests per second that the endpoint takes from all hosts together; nil if it states none
}

// Load is the current load of an endpoint, in requests.
type Load struct {
	Running int
	Waiting int
	Limit   int
	// Slowdown is how long work takes now relative to the published costs; 0 if the endpoint does not tell.
	Slowdown float64
}

// Codec translates headers. It makes no decisions.
type Codec interface {
	// Decode reads a caller's request except for its body and its workspace, which follows from the key.
	Decode(request *http.Request) (*Call, error)
	// DecodeForwarded reads a call that another process of the system has forwarded. Its Forward contains the headers
	// that this process added.
	DecodeForwarded(request *http.Request) (*Call, error)
	// Encode returns the header to send to the endpoint.
	Encode(c *Call, send SendOptions) http.Header
	// EncodeForwarded returns the header of a call that another process of the system has forwarded.
	EncodeForwarded(c *Call, send SendOptions) http.Header
	// DecodeResponse reads the status and the header of a response.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// CallerHeader returns the header to send to the caller: the endpoint's header without connection-specific fields.
	CallerHeader(header http.Header) http.Header
}
