// Package standin provides fakes of the systems around lovageglade: the platform, a model engine and a plain service. They
// are for tests and the demo only.
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

// Platform is a fake of the platform's store, host list and origin on one address.
type Platform struct {
	mu                   sync.Mutex
	store                *platformtest.StoreHandler
	hosts                []core.Host
	weights              map[string][]byte
	faults               PlatformFaults
	originBytesPerSecond int64 // 0 for no limit
	originBusyUntil      time.Time
	originBytesServed    atomic.Int64
}

// PlatformFaults selects the faults to inject. A test sets them with PUT /faults.
type PlatformFaults struct {
	Down        bool `json:"down"`         // answer every request with status 503
	LoseAnswers bool `json:"lose_answers"` // apply writes, but answer them with status 503
	DelayMS     int  `json:"delay_ms"`     // delay of each response in milliseconds
	OriginDown  bool `json:"origin_down"`
	Corrupt     bool `json:"corrupt"` // corrupt the first byte of each range that the origin serves

	OriginBytesPerS int64 `json:"origin_bytes_per_s"` // overrides the rate of the origin's link, 0 to keep the one given to NewPlatform
}

// NewPlatform returns a platform without rows, objects, hosts or weights. Its origin serves at originBytesPerSecond, 0 for no
// limit.
func NewPlatform(originBytesPerSecond int64) *Platform {
	return &Platform{
		store:                platformtest.NewStoreHandler(),
		weights:              make(map[string][]byte),
		originBytesPerSecond: originBytesPerSecond,
	}
}

const (
	bodyLimit  = 1 << 30
	tableHosts = "hosts"
)

// App returns the platform's HTTP handler.
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

// PlatformStats holds the counters that GET /stats returns.
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

// putHosts replaces the host list.
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

// reserveOriginLink queues a transfer of length bytes on the origin's link and returns the time until the transfer ends.
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
