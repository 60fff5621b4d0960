package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Request headers that callers may send.
const (
	headerWorkspace      = "Lovage-Workspace"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "Lovage-Priority"    // 0 to 9, higher runs first
	headerDeadline       = "Lovage-Deadline-Ms" // time that the caller waits, in milliseconds
)

const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
	maxPriority    = 9
	maxKeyBytes    = 128
	maxQuotedBytes = 64 // of a caller's value in an error message
)

// request is a caller's request after validation.
type request struct {
	id          core.RequestID
	service     *config.Service
	version     core.VersionID
	workspace   core.Workspace
	generation  core.Generation
	method      string
	path        string
	contentType string
	key         string
	body        []byte
	idempotent  bool
	priority    int
	deadline    time.Time
	prefixHash  uint64 // hash of the prompt's prefix, 0 if there is none
}

// rawRequest is a caller's request before validation.
type rawRequest struct {
	method          string
	path            string
	query           string
	contentType     string
	contentEncoding string
	workspace       string
	key             string
	priority        string
	deadline        string
	body            []byte
}

// parseRequest reads a caller's request and validates it against the configuration.
func parseRequest(c fiber.Ctx, snapshot *config.Snapshot, now time.Time) (*request, error) {
	return parseRawRequest(copyRequest(c), snapshot, now)
}

// copyRequest copies all fields, because fasthttp reuses its buffers after the handler returns. It takes the body
// as sent: fiber would decode it and return the text of a decoding error as if it were the body.
func copyRequest(c fiber.Ctx) rawRequest {
	header := func(name string) string { return string(c.Request().Header.Peek(name)) }
	return rawRequest{
		method:          string(c.Request().Header.Method()),
		path:            string(c.Request().URI().PathOriginal()),
		query:           string(c.Request().URI().QueryString()),
		contentType:     header(fiber.HeaderContentType),
		contentEncoding: header(fiber.HeaderContentEncoding),
		workspace:       header(headerWorkspace),
		key:             header(headerIdempotencyKey),
		priority:        header(headerPriority),
		deadline:        header(headerDeadline),
		body:            append([]byte(nil), c.BodyRaw()...),
	}
}

// parseRawRequest validates a request against the configuration. A request that fails validation is never
// dispatched.
func parseRawRequest(in rawRequest, snapshot *config.Snapshot, now time.Time) (*request, error) {
	if in.contentEncoding != "" && in.contentEncoding != "identity" {
		return nil, fault.New(fault.BadRequest, "the body is encoded with "+quoteValue(in.contentEncoding), "send it without Content-Encoding")
	}
	dest, err := destinationOf(in)
	if err != nil {
		return nil, err
	}
	r := &request{
		id:          core.RequestID(core.NewID()),
		generation:  snapshot.Generation,
		service:     snapshot.Service(dest.service),
		version:     snapshot.VersionForService(dest.service),
		workspace:   core.Workspace(in.workspace),
		method:      in.method,
		path:        withQuery(dest.path, in.query),
		contentType: in.contentType,
		key:         in.key,
		body:        in.body,
		prefixHash:  dest.prefixHash,
	}
	if r.service == nil {
		return nil, fault.New(fault.UnknownService, "there is no service "+quoteValue(string(dest.service)), "name a service of the configuration")
	}
	r.idempotent = r.service.Idempotent(r.method, dest.path)
	if err := checkWorkspace(snapshot, r); err != nil {
		return nil, err
	}
	if err := checkIdempotencyKey(r.key); err != nil {
		return nil, err
	}
	return r, r.readPriorityAndDeadline(in.priority, in.deadline, now)
}

func checkWorkspace(snapshot *config.Snapshot, r *request) error {
	workspace := snapshot.Workspace(r.workspace)
	if workspace == nil {
		return fault.New(fault.UnknownWorkspace, "there is no workspace "+quoteValue(string(r.workspace)), "send a known workspace in "+headerWorkspace)
	}
	if !workspace.Allows(r.service.Name) {
		return fault.New(fault.UnknownWorkspace, "the workspace may not call "+string(r.service.Name), "have an operator add the service to the workspace")
	}
	return nil
}

func checkIdempotencyKey(key string) error {
	if len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, headerIdempotencyKey+" is longer than 128 bytes", "send a shorter key")
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return fault.New(fault.BadRequest, headerIdempotencyKey+" holds a space or a byte that is not printable ASCII", "send a key of letters, digits and punctuation")
		}
	}
	return nil
}

func (r *request) readPriorityAndDeadline(priority, deadline string, now time.Time) error {
	r.deadline = now.Add(defaultTimeout)
	if priority != "" {
		value, ok := parseDigits(priority, 0, maxPriority)
		if !ok {
			return fault.New(fault.BadRequest, headerPriority+" is not a number from 0 to 9", "correct or omit the header")
		}
		r.priority = int(value)
	}
	if deadline != "" {
		value, ok := parseDigits(deadline, 1, maxTimeout.Milliseconds())
		if !ok {
			return fault.New(fault.BadRequest, headerDeadline+" is not a number of milliseconds from 1 to 600000", "correct or omit the header")
		}
		r.deadline = now.Add(time.Duration(value) * time.Millisecond)
	}
	return nil
}

// parseDigits parses a decimal number without a sign. It returns false if the text is not such a number or the
// value is not between minValue and maxValue. The text must not be empty.
func parseDigits(text string, minValue, maxValue int64) (int64, bool) {
	if text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	value, err := strconv.ParseInt(text, 10, 64)
	return value, err == nil && value >= minValue && value <= maxValue
}

// quoteValue quotes a caller's value for an error message, cut to maxQuotedBytes.
func quoteValue(value string) string {
	return strconv.Quote(value[:min(len(value), maxQuotedBytes)])
}
