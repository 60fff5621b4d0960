package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// The headers that callers may send.
const (
	headerWorkspace = "Lovage-Workspace"
	headerKey       = "Idempotency-Key"
	headerPriority  = "Lovage-Priority"    // 0 to 9, higher goes first
	headerDeadline  = "Lovage-Deadline-Ms" // milliseconds that the caller waits
)

const (
	defaultBudget = 30 * time.Second
	maxBudget     = 10 * time.Minute
	maxPriority   = 9
	maxKeyBytes   = 128
	shownBytes    = 64 // of a caller's value in an error message
)

// request is a caller's request after it was checked.
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
	prefix      uint64 // hash of the prompt's prefix, 0 for none
}

// incoming is a caller's request as it arrived.
type incoming struct {
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

// parse reads a caller's request and checks it against the configuration.
func parse(c fiber.Ctx, snapshot *config.Snapshot, now time.Time) (*request, error) {
	return parseIncoming(readIncoming(c), snapshot, now)
}

// readIncoming copies everything, since fasthttp reuses its buffers after the handler returns. The body is taken as it
// was sent: fiber would decode it and pass a failure to decode it off as a body.
func readIncoming(c fiber.Ctx) incoming {
	header := func(name string) string { return string(c.Request().Header.Peek(name)) }
	return incoming{
		method:          string(c.Request().Header.Method()),
		path:            string(c.Request().URI().PathOriginal()),
		query:           string(c.Request().URI().QueryString()),
		contentType:     header(fiber.HeaderContentType),
		contentEncoding: header(fiber.HeaderContentEncoding),
		workspace:       header(headerWorkspace),
		key:             header(headerKey),
		priority:        header(headerPriority),
		deadline:        header(headerDeadline),
		body:            append([]byte(nil), c.BodyRaw()...),
	}
}

// parseIncoming checks a request against the configuration. Nothing is dispatched for one that it refuses.
func parseIncoming(in incoming, snapshot *config.Snapshot, now time.Time) (*request, error) {
	if in.contentEncoding != "" && in.contentEncoding != "identity" {
		return nil, fault.New(fault.BadRequest, "the body is encoded with "+shown(in.contentEncoding), "send it without Content-Encoding")
	}
	addressed, err := addressOf(in)
	if err != nil {
		return nil, err
	}
	r := &request{
		id:          core.RequestID(core.NewID()),
		generation:  snapshot.Generation,
		service:     snapshot.Service(addressed.service),
		version:     snapshot.VersionForService(addressed.service),
		workspace:   core.Workspace(in.workspace),
		method:      in.method,
		path:        withQuery(addressed.path, in.query),
		contentType: in.contentType,
		key:         in.key,
		body:        in.body,
		prefix:      addressed.prefix,
	}
	if r.service == nil {
		return nil, fault.New(fault.UnknownService, "there is no service "+shown(string(addressed.service)), "name a service of the configuration")
	}
	r.idempotent = r.service.Idempotent(r.method, addressed.path)
	if err := checkWorkspace(snapshot, r); err != nil {
		return nil, err
	}
	if err := checkKey(r.key); err != nil {
		return nil, err
	}
	return r, r.readLimits(in.priority, in.deadline, now)
}

func checkWorkspace(snapshot *config.Snapshot, r *request) error {
	workspace := snapshot.Workspace(r.workspace)
	if workspace == nil {
		return fault.New(fault.UnknownSpace, "there is no workspace "+shown(string(r.workspace)), "send a known workspace in "+headerWorkspace)
	}
	if !workspace.Allows(r.service.Name) {
		return fault.New(fault.UnknownSpace, "the workspace may not call "+string(r.service.Name), "have an operator add the service to the workspace")
	}
	return nil
}

func checkKey(key string) error {
	if len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, headerKey+" is longer than 128 bytes", "send a shorter key")
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return fault.New(fault.BadRequest, headerKey+" holds a space or a byte that is not printable ASCII", "send a key of letters, digits and punctuation")
		}
	}
	return nil
}

func (r *request) readLimits(priority, deadline string, now time.Time) error {
	r.deadline = now.Add(defaultBudget)
	if priority != "" {
		value, ok := readNumber(priority, 0, maxPriority)
		if !ok {
			return fault.New(fault.BadRequest, headerPriority+" is not a number from 0 to 9", "correct or omit the header")
		}
		r.priority = int(value)
	}
	if deadline != "" {
		value, ok := readNumber(deadline, 1, maxBudget.Milliseconds())
		if !ok {
			return fault.New(fault.BadRequest, headerDeadline+" is not a number of milliseconds from 1 to 600000", "correct or omit the header")
		}
		r.deadline = now.Add(time.Duration(value) * time.Millisecond)
	}
	return nil
}

// readNumber reads plain decimal digits; a sign is refused.
func readNumber(text string, least, most int64) (int64, bool) {
	if text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	value, err := strconv.ParseInt(text, 10, 64)
	return value, err == nil && value >= least && value <= most
}

// shown renders a caller's value for an error message.
func shown(value string) string {
	return strconv.Quote(value[:min(len(value), shownBytes)])
}
