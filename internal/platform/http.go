package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	defaultCallTimeout = 5 * time.Second
	maxAnswerBytes     = 256 << 20
)

// Client speaks HTTP to the platform's systems. It implements Tables, Objects, Hosts and Origin.
type Client struct {
	http      *fasthttp.Client
	addresses Addresses
}

// Addresses holds the IP number and port of each of the platform's systems.
type Addresses struct {
	Tables, Objects, Hosts, Origin string
}

// NewClient returns a client of the platform at the addresses.
func NewClient(addresses Addresses) *Client {
	return &Client{
		addresses: addresses,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1, // a retry is this system's own decision
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       maxAnswerBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Get implements Tables. A row that does not exist has revision 0 and no error.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	err := c.exchange(ctx, fasthttp.MethodGet, c.addresses.Tables, "/tables/"+url.PathEscape(table)+"/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan implements Tables.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	err := c.exchange(ctx, fasthttp.MethodGet, c.addresses.Tables, "/tables/"+url.PathEscape(table)+"/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Write implements Tables.
func (c *Client) Write(ctx context.Context, writes []Write) ([]WriteResult, error) {
	body, err := json.Marshal(writes)
	if err != nil {
		return nil, err
	}
	var results []WriteResult
	if err := c.exchange(ctx, fasthttp.MethodPost, c.addresses.Tables, "/tables", body, &results); err != nil {
		return nil, err
	}
	if len(results) != len(writes) {
		return nil, fault.New(fault.PlatformDown, "the table service answered another number of writes", "read the rows back")
	}
	return results, nil
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.fetch(ctx, fasthttp.MethodGet, c.addresses.Objects, "/objects/"+name, nil)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	_, err := c.fetch(ctx, fasthttp.MethodPut, c.addresses.Objects, "/objects/"+name, value)
	return err
}

// ListHosts implements Hosts.
func (c *Client) ListHosts(ctx context.Context) ([]core.Host, error) {
	var hosts []core.Host
	err := c.exchange(ctx, fasthttp.MethodGet, c.addresses.Hosts, "/hosts", nil, &hosts)
	return hosts, err
}

// FetchRange implements Origin.
func (c *Client) FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error) {
	path := fmt.Sprintf("/weights/%s?offset=%d&length=%d", object, offset, length)
	body, err := c.fetch(ctx, fasthttp.MethodGet, c.addresses.Origin, path, nil)
	if err == nil && int64(len(body)) != length {
		return nil, fault.New(fault.Corrupted, "the origin sent another length than asked for", "fetch the range again")
	}
	return body, err
}

func (c *Client) exchange(ctx context.Context, method, address, path string, body []byte, into any) error {
	raw, err := c.fetch(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fault.Wrap(err, fault.PlatformDown, "the platform's answer cannot be read", "check the platform's address in the settings")
	}
	return nil
}

func (c *Client) fetch(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := c.http.DoDeadline(request, answer, deadline); err != nil {
		return nil, fault.Wrap(err, fault.PlatformDown, "the platform at "+address+" gave no answer", "try again; what is held already stays in force")
	}
	switch answer.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), answer.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, fault.New(fault.NotFound, path+" does not exist at the platform", "check the name")
	default:
		message := fmt.Sprintf("the platform at %s answered with status %d", address, answer.StatusCode())
		return nil, fault.New(fault.PlatformDown, message, "try again; what is held already stays in force")
	}
}
