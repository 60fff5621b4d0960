// Command lovage-load generates load on the entries and reports the outcomes, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/stream"
)

const (
	bookingsTimeout  = 10 * time.Second // without a byte from a stand-in
	maxBookingsBytes = 64 << 20         // room for a million bookings
)

type commandLine struct {
	Entries      []string       `required:"" help:"IP numbers and ports of the entries."`
	Workspace    core.Workspace `required:"" help:"Workspace that calls."`
	ModelService core.Service   `required:"" help:"Service of the model requests."`
	PlainService core.Service   `required:"" help:"Service of the bookings."`
	Rate         float64        `default:"50" help:"Requests a second."`
	Concurrency  int            `help:"Requests at once, in place of a rate."`
	Duration     time.Duration  `default:"2s" help:"How long requests start."`
	BookingShare float64        `default:"0.25" help:"Share of the requests that are bookings."`
	Deadline     time.Duration  `default:"10s" help:"Time that a caller waits."`
	Books        []string       `help:"IP numbers and ports of the plain stand-ins, whose bookings are compared with the answers."`
	Strict       bool           `help:"Exit with an error unless every answer was whole and every booking was made once."`
}

func main() {
	var args commandLine
	parser := kong.Parse(&args, kong.Name("lovage-load"), kong.Description("An open-loop load with checks of every answer."))
	report := load.Run(context.Background(), load.Options{
		Entries:      args.Entries,
		Workspace:    args.Workspace,
		ModelService: args.ModelService,
		PlainService: args.PlainService,
		Rate:         args.Rate,
		Concurrency:  args.Concurrency,
		Duration:     args.Duration,
		BookingShare: args.BookingShare,
		Deadline:     args.Deadline,
	})
	bookings, err := readBookings(args.Books)
	parser.FatalIfErrorf(err)
	problems := checkBookings(report, bookings)
	encoded, err := json.Marshal(report)
	parser.FatalIfErrorf(err)
	fmt.Println(string(encoded))
	for _, problem := range problems {
		fmt.Println("wrong:", problem)
	}
	if len(problems) > 0 || (args.Strict && report.Completed != report.Sent) {
		os.Exit(1)
	}
}

// readBookings returns how often each booking was made, summed over the plain stand-ins at the addresses.
func readBookings(addresses []string) (map[string]int, error) {
	client := stream.NewClient(bookingsTimeout, 1)
	defer client.Close()
	bookings := make(map[string]int)
	for _, address := range addresses {
		counts, err := readBookingsOf(client, address)
		if err != nil {
			return nil, err
		}
		for id, count := range counts {
			bookings[id] += count
		}
	}
	return bookings, nil
}

// readBookingsOf returns how often each booking was made at the plain stand-in at the address.
func readBookingsOf(client *stream.Client, address string) (map[string]int, error) {
	response, err := client.Do(context.Background(), stream.Request{Method: http.MethodGet, Address: address, Target: "/bookings"})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	raw, err := response.ReadAll(maxBookingsBytes)
	if err != nil {
		return nil, err
	}
	var counts map[string]int
	if err := json.Unmarshal(raw, &counts); err != nil {
		return nil, err
	}
	return counts, nil
}

// checkBookings compares the bookings at the stand-ins with the responses that callers received and returns a description
// of each contradiction: a booking made twice, confirmed but not made, or refused but made.
func checkBookings(report load.Report, bookings map[string]int) []string {
	if len(bookings) == 0 {
		return nil
	}
	var problems []string
	for id, count := range bookings {
		if count > 1 {
			problems = append(problems, fmt.Sprintf("booking %s was made %d times", id, count))
		}
	}
	for _, id := range report.BookedIDs {
		if bookings[id] == 0 {
			problems = append(problems, "booking "+id+" was confirmed and not made")
		}
	}
	for _, id := range report.RefusedIDs {
		if bookings[id] > 0 {
			problems = append(problems, "booking "+id+" was refused as not run and made")
		}
	}
	return problems
}
