// Package standin holds small stand-ins of the systems that lovageglade serves: the platform, a model engine and a
// plain service. They are for tests and the demo only.
package standin

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// Platform stands in for the platform's store, which also lists the hosts, and for the origin, all on one address.
type Platform struct {
	mu                   sync.Mutex
	store                *platformtest.Rows
	hosts                []core.Host
	weights              map[string][]byte
	faults               PlatformFaults
	originBytesPerSecond int64 // bytes a second, 0 for no limit
	originBusyUntil      time.Time
	originBytesServed    atomic.Int64
}

// PlatformFaults are the faults that a test switches on by PUT /faults.
type PlatformFaults struct {
	Down        bool `json:"down"`         // every call is answered with status 503
	LoseAnswers bool `json:"lose_answers"` // writes take effect and are answered with status 503
	DelayMS     int  `json:"delay_ms"`     // milliseconds before each answer
	OriginDown  bool `json:"origin_down"`
	Corrupt     bool `json:"corrupt"` // the origin flips a byte in each range

	OriginBytesPerS int64 `json:"origin_bytes_per_s"` // rate of the origin's link in place of the one at start, 0 to keep that
}

// NewPlatform returns a platform without rows, objects, hosts or weights.
func NewPlatform(originBytesPerSecond int64) *Platform {
	return &Platform{
		store:                platformtest.NewRows(),
		weights:              make(map[string][]byte),
		originBytesPerSecond: originBytesPerSecond,
	}
}

const (
	bodyLimit  = 1 << 30
	tableHosts = "hosts"
)

// App returns the platform's HTTP interface.
func (p *Platform) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: bodyLimit})
	app.Put("/faults", p.putFaults)
	app.Get("/stats", p.getStats)
	app.Use(p.applyFaults)
	app.Put("/hosts", p.putHosts)
	app.Get("/weights/:object", p.getWeights)
	app.Put("/weights/:object", p.putWeights)
	app.Use(adaptor.HTTPHandler(p.store))
	return app
}

func (p *Platform) putFaults(c fiber.Ctx) error {
	var faults PlatformFaults
	if err := json.Unmarshal(c.Body(), &faults); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	return nil
}

// PlatformStats counts what the platform served.
type PlatformStats struct {
	OriginBytes int64 `json:"origin_bytes"`
}

func (p *Platform) getStats(c fiber.Ctx) error {
	return c.JSON(PlatformStats{OriginBytes: p.originBytesServed.Load()})
}

func (p *Platform) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) applyFaults(c fiber.Ctx) error {
	faults := p.currentFaults()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Down {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	err := c.Next()
	if faults.LoseAnswers && c.Method() != fiber.MethodGet {
		c.Response().ResetBody()
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return err
}

// putHosts replaces the list of hosts.
func (p *Platform) putHosts(c fiber.Ctx) error {
	var hosts []core.Host
	if err := json.Unmarshal(c.Body(), &hosts); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range p.hosts {
		p.store.Remove(tableHosts, string(host.ID))
	}
	for _, host := range hosts {
		value, err := json.Marshal(host)
		if err != nil {
			return err
		}
		p.store.Put(tableHosts, string(host.ID), string(value))
	}
	p.hosts = hosts
	return nil
}

func (p *Platform) putWeights(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[strings.Clone(c.Params("object"))] = append([]byte(nil), c.Body()...)
	return nil
}

func (p *Platform) getWeights(c fiber.Ctx) error {
	p.mu.Lock()
	raw := p.weights[c.Params("object")]
	faults := p.faults
	p.mu.Unlock()
	offset, offsetErr := strconv.ParseInt(c.Query("offset"), 10, 64)
	length, lengthErr := strconv.ParseInt(c.Query("length"), 10, 64)
	if faults.OriginDown || offsetErr != nil || lengthErr != nil || offset < 0 || length < 0 || offset+length > int64(len(raw)) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	time.Sleep(p.reserveOriginLink(length))
	p.originBytesServed.Add(length)
	data := append([]byte(nil), raw[offset:offset+length]...)
	if faults.Corrupt && len(data) > 0 {
		data[0] ^= 0xff
	}
	return c.Send(data)
}

// reserveOriginLink takes a turn on the origin's link and returns how long the bytes occupy it.
func (p *Platform) reserveOriginLink(length int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytesPerSecond := cmp.Or(p.faults.OriginBytesPerS, p.originBytesPerSecond)
	if bytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if p.originBusyUntil.Before(now) {
		p.originBusyUntil = now
	}
	p.originBusyUntil = p.originBusyUntil.Add(time.Duration(float64(length) / float64(bytesPerSecond) * float64(time.Second)))
	return p.originBusyUntil.Sub(now)
}
