package entry

import (
	"encoding/json"
	"strconv"
	"strings"
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
	defaultBudget  = 30 * time.Second
	maxBudget      = 10 * time.Minute
	maxPriority    = 9
	maxKeyBytes    = 128
	pathChat       = "/v1/chat/completions"
	prefixServices = "/services/"
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

// parse checks a caller's request against the configuration. Nothing is dispatched for one that it refuses. Strings
// and the body are copied, since fasthttp reuses its buffers after the handler returns.
func parse(c fiber.Ctx, snapshot *config.Snapshot, now time.Time) (*request, error) {
	r := &request{
		id:          core.RequestID(core.NewID()),
		generation:  snapshot.Generation,
		method:      strings.Clone(c.Method()),
		contentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		key:         strings.Clone(c.Get(headerKey)),
		workspace:   core.Workspace(strings.Clone(c.Get(headerWorkspace))),
		body:        append([]byte(nil), c.Body()...),
	}
	name, path, err := target(c.Path(), r.body)
	if err != nil {
		return nil, err
	}
	r.path = withQuery(path, string(c.Request().URI().QueryString()))
	r.service = snapshot.Service(name)
	if r.service == nil {
		return nil, fault.New(fault.UnknownService, "there is no service "+strconv.Quote(string(name)), "name a service of the configuration")
	}
	r.version = snapshot.VersionOf(name)
	r.idempotent = r.service.Idempotent(r.method, path)
	if err := checkWorkspace(snapshot, r); err != nil {
		return nil, err
	}
	if len(r.key) > maxKeyBytes {
		return nil, fault.New(fault.BadRequest, headerKey+" is longer than 128 bytes", "send a shorter key")
	}
	return r, r.readLimits(c.Get(headerPriority), c.Get(headerDeadline), now)
}

func checkWorkspace(snapshot *config.Snapshot, r *request) error {
	workspace := snapshot.Workspace(r.workspace)
	if workspace == nil {
		return fault.New(fault.UnknownSpace, "there is no workspace "+strconv.Quote(string(r.workspace)), "send a known workspace in "+headerWorkspace)
	}
	if !workspace.Allows(r.service.Name) {
		return fault.New(fault.UnknownSpace, "the workspace may not call "+string(r.service.Name), "have an operator add the service to the workspace")
	}
	return nil
}

func (r *request) readLimits(priority, deadline string, now time.Time) error {
	r.deadline = now.Add(defaultBudget)
	if priority != "" {
		value, err := strconv.Atoi(priority)
		if err != nil || value < 0 || value > maxPriority {
			return fault.New(fault.BadRequest, headerPriority+" is not a number from 0 to 9", "correct or omit the header")
		}
		r.priority = value
	}
	if deadline != "" {
		value, err := strconv.ParseInt(deadline, 10, 64)
		if err != nil || value <= 0 || value > maxBudget.Milliseconds() {
			return fault.New(fault.BadRequest, headerDeadline+" is not a number of milliseconds from 1 to 600000", "correct or omit the header")
		}
		r.deadline = now.Add(time.Duration(value) * time.Millisecond)
	}
	return nil
}

// target tells the service and the path at its endpoint: /services/NAME/PATH, or for a chat completion the service
// that the body names as its model.
func target(path string, body []byte) (core.Service, string, error) {
	if path == pathChat {
		return chatTarget(body)
	}
	rest, ok := strings.CutPrefix(path, prefixServices)
	if !ok {
		return "", "", fault.New(fault.BadRequest, "the path names no service", "use "+prefixServices+"NAME/PATH or "+pathChat)
	}
	name, tail, _ := strings.Cut(rest, "/")
	return core.Service(strings.Clone(name)), "/" + strings.Clone(tail), nil
}

func chatTarget(body []byte) (core.Service, string, error) {
	var chat struct {
		Model core.Service `json:"model"`
	}
	if err := json.Unmarshal(body, &chat); err != nil || chat.Model == "" {
		return "", "", fault.New(fault.BadRequest, "the body is not a chat completion that names its model", "send JSON with the field model")
	}
	return chat.Model, pathChat, nil
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
