// Package standin holds small stand-ins of the systems that lovageglade serves: the platform, a model engine and a
// plain service. They are for tests and the demo only.
package standin

import (
	"cmp"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
)

// Platform stands in for the table service, the object store, the host list and the origin, all on one address.
type Platform struct {
	mu          sync.Mutex
	rows        map[string]platform.Row // by table, NUL and key
	objects     map[string][]byte
	hosts       []core.Host
	weights     map[string][]byte
	faults      PlatformFaults
	originRate  int64 // bytes a second, 0 for no limit
	originFree  time.Time
	originBytes atomic.Int64
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
func NewPlatform(originRate int64) *Platform {
	return &Platform{
		rows:       make(map[string]platform.Row),
		objects:    make(map[string][]byte),
		weights:    make(map[string][]byte),
		originRate: originRate,
	}
}

const bodyLimit = 1 << 30

// App returns the platform's HTTP interface.
func (p *Platform) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: bodyLimit})
	app.Put("/faults", p.putFaults)
	app.Get("/stats", p.getStats)
	app.Use(p.applyFaults)
	app.Get("/tables/:table/row", p.getRow)
	app.Get("/tables/:table/rows", p.scanRows)
	app.Post("/tables", p.writeRows)
	app.Get("/objects/*", p.getObject)
	app.Put("/objects/*", p.putObject)
	app.Get("/hosts", p.getHosts)
	app.Put("/hosts", p.putHosts)
	app.Get("/weights/:object", p.getWeights)
	app.Put("/weights/:object", p.putWeights)
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
	return c.JSON(PlatformStats{OriginBytes: p.originBytes.Load()})
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

func rowKey(table, key string) string { return table + "\x00" + key }

func (p *Platform) getRow(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(p.rows[rowKey(c.Params("table"), c.Query("key"))])
}

func (p *Platform) scanRows(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefix := rowKey(c.Params("table"), c.Query("prefix"))
	rows := []platform.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return c.JSON(rows)
}

func (p *Platform) writeRows(c fiber.Ctx) error {
	var writes []platform.Write
	if err := json.Unmarshal(c.Body(), &writes); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	results := make([]platform.WriteResult, len(writes))
	for i, write := range writes {
		results[i] = p.write(write)
	}
	return c.JSON(results)
}

func (p *Platform) write(write platform.Write) platform.WriteResult {
	key := rowKey(write.Table, write.Key)
	standing := p.rows[key]
	if standing.Revision != write.IfRevision {
		return platform.WriteResult{Row: standing}
	}
	row := platform.Row{Key: write.Key, Value: write.Value, Revision: standing.Revision + 1}
	p.rows[key] = row
	return platform.WriteResult{Written: true, Row: row}
}

func (p *Platform) getObject(c fiber.Ctx) error {
	p.mu.Lock()
	value, ok := p.objects[c.Params("*")]
	p.mu.Unlock()
	if !ok {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.Send(value)
}

func (p *Platform) putObject(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[strings.Clone(c.Params("*"))] = append([]byte(nil), c.Body()...)
	return nil
}

func (p *Platform) getHosts(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(p.hosts)
}

func (p *Platform) putHosts(c fiber.Ctx) error {
	var hosts []core.Host
	if err := json.Unmarshal(c.Body(), &hosts); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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
	offset, err := strconv.ParseInt(c.Query("offset"), 10, 64)
	length, err2 := strconv.ParseInt(c.Query("length"), 10, 64)
	if faults.OriginDown || err != nil || err2 != nil || offset < 0 || length < 0 || offset+length > int64(len(raw)) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	time.Sleep(p.reserve(length))
	p.originBytes.Add(length)
	part := append([]byte(nil), raw[offset:offset+length]...)
	if faults.Corrupt && len(part) > 0 {
		part[0] ^= 0xff
	}
	return c.Send(part)
}

// reserve takes a turn on the origin's link and returns how long the bytes occupy it.
func (p *Platform) reserve(length int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := cmp.Or(p.faults.OriginBytesPerS, p.originRate)
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	if p.originFree.Before(now) {
		p.originFree = now
	}
	p.originFree = p.originFree.Add(time.Duration(float64(length) / float64(rate) * float64(time.Second)))
	return p.originFree.Sub(now)
}
