package operate

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const burnTimeout = 5 * time.Second

// BurnOptions configures the burn rate report.
type BurnOptions struct {
	Windows   []time.Duration
	Threshold float64 // burn rate above which Burn returns an error of kind ObjectiveBurning; 0 means none
	JSON      bool
	SVG       string // file to write the plot to; "" means no plot
}

// BurnReport holds the burn rates of every objective, merged over all entries that responded.
type BurnReport struct {
	Generation core.Generation `json:"generation"` // configuration that the objectives are taken from
	Windows    []string        `json:"windows"`
	CoveredS   []float64       `json:"covered_s"` // seconds of each window that the entry with the longest uptime has recorded
	Domains    []EntryCoverage `json:"failure_domains"`
	Rows       []burn.Row      `json:"rows"`
}

// EntryCoverage says how many entries of a failure domain responded.
type EntryCoverage struct {
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Entries       int                `json:"entries"`
	Unresponsive  []core.HostID      `json:"silent"` // entries that did not respond
}

// entryResponse is the response of one entry.
type entryResponse struct {
	host    core.Host
	windows burn.WindowsResponse
	err     error
}

// Burn collects the recorded windows of all entries and prints the burn rates of every objective. It returns an error if
// no entry responds or a burn rate exceeds the threshold.
func (o *Operator) Burn(ctx context.Context, options BurnOptions) error {
	snapshot, err := o.latestSnapshot(ctx)
	if err != nil {
		return err
	}
	responses, err := o.collectBurn(ctx, options.Windows)
	if err != nil {
		return err
	}
	report, err := mergeBurn(snapshot, options.Windows, responses)
	if err != nil {
		return err
	}
	if err := o.printBurn(report, options); err != nil {
		return err
	}
	if options.SVG != "" {
		if err := writePlot(report, options); err != nil {
			return err
		}
	}
	return checkReport(report, options)
}

func (o *Operator) collectBurn(ctx context.Context, windows []time.Duration) ([]entryResponse, error) {
	hosts, err := o.listHosts(ctx)
	if err != nil {
		return nil, err
	}
	var request burn.WindowsRequest
	for _, window := range windows {
		request.WindowsS = append(request.WindowsS, int64(window/time.Second))
	}
	entries := slices.DeleteFunc(hosts, func(host core.Host) bool { return host.Role != core.RoleEntry })
	mapper := iter.Mapper[core.Host, entryResponse]{MaxGoroutines: maxConcurrentCalls}
	return mapper.Map(entries, func(host *core.Host) entryResponse {
		ctx, cancel := context.WithTimeout(ctx, burnTimeout)
		defer cancel()
		response := entryResponse{host: *host}
		var packed burn.PackedResponse
		response.err = o.Peers.Call(ctx, host.ControlAddress, burn.MethodWindows, request, &packed)
		if response.err == nil {
			response.windows, response.err = packed.Unpack()
		}
		return response
	}), nil
}

func mergeBurn(snapshot *config.Snapshot, windows []time.Duration, responses []entryResponse) (BurnReport, error) {
	merged := burn.NewAggregate(windows)
	report := BurnReport{Generation: snapshot.Generation, CoveredS: make([]float64, len(windows))}
	for _, window := range windows {
		report.Windows = append(report.Windows, burn.FormatWindow(window))
	}
	for _, response := range responses {
		if response.err != nil {
			continue
		}
		if err := merged.Add(response.windows); err != nil {
			return report, err
		}
		for i, covered := range response.windows.CoveredS {
			if i < len(windows) {
				report.CoveredS[i] = max(report.CoveredS[i], covered)
			}
		}
	}
	report.Rows = merged.Rows(snapshot.Set)
	report.Domains = coverageByDomain(snapshot.Set, responses)
	return report, nil
}

// coverageByDomain returns the coverage of every failure domain in the configuration or the host list.
func coverageByDomain(set config.Set, responses []entryResponse) []EntryCoverage {
	domains := make([]EntryCoverage, 0, len(set.FailureDomains))
	indexes := make(map[core.FailureDomain]int)
	findOrAdd := func(name core.FailureDomain) *EntryCoverage {
		if _, ok := indexes[name]; !ok {
			indexes[name] = len(domains)
			domains = append(domains, EntryCoverage{FailureDomain: name, Unresponsive: []core.HostID{}})
		}
		return &domains[indexes[name]]
	}
	for _, domain := range set.FailureDomains {
		findOrAdd(domain.Name)
	}
	for _, response := range responses {
		domain := findOrAdd(response.host.FailureDomain)
		domain.Entries++
		if response.err != nil {
			domain.Unresponsive = append(domain.Unresponsive, response.host.ID)
		}
	}
	return domains
}

func (o *Operator) printBurn(report BurnReport, options BurnOptions) error {
	if options.JSON {
		return o.printJSON(report)
	}
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "SERVICE\tWORKSPACE\tOBJECTIVE\tTARGET\t%s\tBUDGET LEFT\n", strings.Join(report.Windows, "\t"))
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Service, row.Workspace, row.Objective, row.Target, describeRates(row.Rates), describeBudget(row))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if text := describeIncompleteWindows(report, options.Windows); text != "" {
		_ = o.printf("%s\n", text)
	}
	for _, domain := range report.Domains {
		if text := describeCoverage(domain); text != "" {
			_ = o.printf("%s\n", text)
		}
	}
	return nil
}

// describeIncompleteWindows names the windows that are longer than the uptime of every entry that responded.
func describeIncompleteWindows(report BurnReport, windows []time.Duration) string {
	var incomplete []string
	var longest float64
	for i, window := range windows {
		longest = max(longest, report.CoveredS[i])
		if report.CoveredS[i] < window.Seconds() {
			incomplete = append(incomplete, report.Windows[i])
		}
	}
	if len(incomplete) == 0 {
		return ""
	}
	uptime := time.Duration(longest * float64(time.Second)).Round(time.Second)
	return fmt.Sprintf("no entry has run longer than %s: that is all that %s hold", uptime, strings.Join(incomplete, ", "))
}

func describeRates(rates []burn.Rate) string {
	parts := make([]string, 0, len(rates))
	for _, rate := range rates {
		if rate.Total == 0 {
			parts = append(parts, "-")
			continue
		}
		parts = append(parts, fmt.Sprintf("%.2f", rate.Burn))
	}
	return strings.Join(parts, "\t")
}

// describeBudget formats the remaining error budget, or returns "-" if there were no requests.
func describeBudget(row burn.Row) string {
	if !slices.ContainsFunc(row.Rates, func(rate burn.Rate) bool { return rate.Total > 0 }) {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", row.BudgetLeft*100)
}

func describeCoverage(domain EntryCoverage) string {
	switch {
	case domain.Entries == 0:
		return fmt.Sprintf("failure domain %s has no entry in the host list", domain.FailureDomain)
	case len(domain.Unresponsive) == domain.Entries:
		return fmt.Sprintf("failure domain %s was not reached: none of its %d entries answered; its requests are missing above", domain.FailureDomain, domain.Entries)
	case len(domain.Unresponsive) > 0:
		return fmt.Sprintf("failure domain %s was reached in part: no answer from %v", domain.FailureDomain, domain.Unresponsive)
	}
	return ""
}

func writePlot(report BurnReport, options BurnOptions) error {
	file, err := os.Create(options.SVG)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the plot cannot be written", "name a file that can be written with --svg")
	}
	if err := burn.WriteSVG(file, report.Rows, options.Windows, options.Threshold); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// checkReport returns an error if no entry responded or a burn rate exceeds the threshold.
func checkReport(report BurnReport, options BurnOptions) error {
	anyResponded := slices.ContainsFunc(report.Domains, func(domain EntryCoverage) bool { return domain.Entries > len(domain.Unresponsive) })
	if !anyResponded {
		return fault.New(fault.Interrupted, "no entry answered", "check the network between here and the entries' control addresses")
	}
	var exceeded []string
	for _, row := range report.Rows {
		if options.Threshold > 0 && row.MaxBurn() > options.Threshold {
			exceeded = append(exceeded, fmt.Sprintf("%s / %s %s at %.2f", row.Service, row.Workspace, row.Objective, row.MaxBurn()))
		}
	}
	if len(exceeded) == 0 {
		return nil
	}
	message := fmt.Sprintf("above the burn rate %g: %s", options.Threshold, strings.Join(exceeded, ", "))
	return fault.New(fault.ObjectiveBurning, message, "look at these services' endpoints with lovagectl status")
}
