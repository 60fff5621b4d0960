// Command lovage-load sends a load to the entries and reports what came back, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
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
	var line commandLine
	parser := kong.Parse(&line, kong.Name("lovage-load"), kong.Description("An open-loop load with checks of every answer."))
	report := load.Run(context.Background(), load.Options{
		Entries:      line.Entries,
		Workspace:    line.Workspace,
		ModelService: line.ModelService,
		PlainService: line.PlainService,
		Rate:         line.Rate,
		Concurrency:  line.Concurrency,
		Duration:     line.Duration,
		BookingShare: line.BookingShare,
		Deadline:     line.Deadline,
	})
	made, err := readBookings(line.Books)
	parser.FatalIfErrorf(err)
	wrong := compare(report, made)
	encoded, err := json.Marshal(report)
	parser.FatalIfErrorf(err)
	fmt.Println(string(encoded))
	for _, problem := range wrong {
		fmt.Println("wrong:", problem)
	}
	if len(wrong) > 0 || (line.Strict && report.Whole != report.Sent) {
		os.Exit(1)
	}
}

func readBookings(addresses []string) (map[string]int, error) {
	made := make(map[string]int)
	for _, address := range addresses {
		answer, err := http.Get("http://" + address + "/bookings")
		if err != nil {
			return nil, err
		}
		raw, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			return nil, err
		}
		part := make(map[string]int)
		if err := json.Unmarshal(raw, &part); err != nil {
			return nil, err
		}
		for id, count := range part {
			made[id] += count
		}
	}
	return made, nil
}

// compare checks the bookings made against what callers were told of them.
func compare(report load.Report, made map[string]int) []string {
	if len(made) == 0 {
		return nil
	}
	var wrong []string
	for id, count := range made {
		if count > 1 {
			wrong = append(wrong, fmt.Sprintf("booking %s was made %d times", id, count))
		}
	}
	for _, id := range report.Booked {
		if made[id] == 0 {
			wrong = append(wrong, "booking "+id+" was confirmed and not made")
		}
	}
	for _, id := range report.Refused {
		if made[id] > 0 {
			wrong = append(wrong, "booking "+id+" was refused as not run and made")
		}
	}
	return wrong
}
