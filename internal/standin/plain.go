package standin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// PlainService is a fake plain service with bookings. It counts how many times each booking was made.
type PlainService struct {
	mu       sync.Mutex
	bookings map[string]int
	crashes  int
	faults   PlainServiceFaults
}

// PlainServiceFaults selects the faults to inject. A test sets them with PUT /faults.
type PlainServiceFaults struct {
	DelayMS   int  `json:"delay_ms"`   // delay of each response to a booking in milliseconds
	CutAnswer bool `json:"cut_answer"` // make the booking, then close the connection without a response

	CrashOn string `json:"crash_on"` // id of the profile whose requests close the connection without a response
}

// Booking is the request and response body of POST /bookings.
type Booking struct {
	ID    string `json:"id"`
	Count int    `json:"count"` // number of times the booking was made
}

// NewPlainService returns a plain service without bookings.
func NewPlainService() *PlainService { return &PlainService{bookings: make(map[string]int)} }

// App returns the service's HTTP handler.
func (p *PlainService) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: bodyLimit})
	app.Put("/faults", p.putFaults)
	app.Post("/bookings", p.createBooking)
	app.Get("/bookings", p.listBookings)
	app.Get("/profile", p.getProfile)
	return app
}

// Crashes returns the number of profile requests that closed the connection.
func (p *PlainService) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

func (p *PlainService) getProfile(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.CrashOn != "" && c.Query("id") == p.faults.CrashOn {
		p.crashes++
		return c.RequestCtx().Conn().Close()
	}
	return c.SendString("profile\n")
}

func (p *PlainService) putFaults(c fiber.Ctx) error {
	var faults PlainServiceFaults
	if err := json.Unmarshal(c.Body(), &faults); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	return nil
}

func (p *PlainService) createBooking(c fiber.Ctx) error {
	var booking Booking
	if err := json.Unmarshal(c.Body(), &booking); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	id := strings.Clone(booking.ID)
	p.bookings[id]++
	booking.Count = p.bookings[id]
	faults := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.CutAnswer {
		return c.RequestCtx().Conn().Close()
	}
	return c.JSON(booking)
}

func (p *PlainService) listBookings(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(p.bookings)
}
