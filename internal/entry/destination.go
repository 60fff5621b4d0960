package entry

import (
	"encoding/json"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
)

const (
	pathChat       = "/v1/chat/completions"
	prefixServices = "/services/"
)

// destination is the service that a request is for and the path to request there.
type destination struct {
	service    core.Service
	path       string
	prefixHash uint64 // hash of the prompt's prefix, 0 if there is none
}

// destinationOf returns the destination of a request. The path of a request has the form /services/NAME/PATH, except
// for a chat completion, whose body names the service in the field model.
func destinationOf(in rawRequest) (destination, error) {
	if in.path == pathChat {
		return chatDestination(in)
	}
	rest, ok := strings.CutPrefix(in.path, prefixServices)
	if !ok {
		return destination{}, errNoService()
	}
	if !knownMethods[in.method] {
		return destination{}, fault.New(fault.BadRequest, "the method "+quoteValue(in.method)+" is not supported", "use a standard HTTP method")
	}
	name, tail, _ := strings.Cut(rest, "/")
	if err := checkPath("/" + tail); err != nil {
		return destination{}, err
	}
	return destination{service: core.Service(name), path: "/" + tail}, nil
}

func errNoService() error {
	return fault.New(fault.BadRequest, "the path names no service", "use "+prefixServices+"NAME/PATH or "+pathChat)
}

var knownMethods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// checkPath rejects a path that an endpoint could read as another path than the one that is matched with the calls of
// the configuration. Such a request could count as idempotent although it is not.
func checkPath(path string) error {
	lower := strings.ToLower(path)
	for _, ambiguous := range []string{"%2e", "%2f", "%5c", "%00", "\\", "//", ";"} {
		if strings.Contains(lower, ambiguous) {
			return errAmbiguousPath()
		}
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return errAmbiguousPath()
		}
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] > '~' {
			return errAmbiguousPath()
		}
	}
	return nil
}

func errAmbiguousPath() error {
	return fault.New(fault.BadRequest, "the path is ambiguous", "send it without dot segments, empty segments, encoded separators and parameters")
}

// chatRequest holds the fields of a chat completion that an entry reads.
type chatRequest struct {
	Model    core.Service      `json:"model"`
	Messages []json.RawMessage `json:"messages"`
}

func chatDestination(in rawRequest) (destination, error) {
	if in.method != "POST" {
		return destination{}, fault.New(fault.BadRequest, "a chat completion cannot be requested with "+quoteValue(in.method), "use POST")
	}
	var body chatRequest
	if err := json.Unmarshal(in.body, &body); err != nil || body.Model == "" {
		return destination{}, fault.New(fault.BadRequest, "the body is not a chat completion that names its model", "send JSON with the field model")
	}
	if len(body.Messages) == 0 {
		return destination{}, fault.New(fault.BadRequest, "the body is a chat completion without messages", "send at least one message in the field messages")
	}
	return destination{service: body.Model, path: pathChat, prefixHash: routing.PrefixHash(promptPrefix(body.Messages))}, nil
}

// promptPrefix returns the part of a conversation that is the same in every turn: the messages up to and including
// the first one with the role user, or until routing.PrefixBytes are reached.
func promptPrefix(messages []json.RawMessage) []byte {
	var prefix []byte
	for _, raw := range messages {
		prefix = append(prefix, raw...)
		var message struct {
			Role string `json:"role"`
		}
		if json.Unmarshal(raw, &message) != nil || message.Role == "user" || len(prefix) >= routing.PrefixBytes {
			break
		}
	}
	return prefix
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
