package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/where"
)

// explainWhere tells where a request would go now. It takes the decisions of a request that is sent, without the effects: no
// retry is budgeted, no trial of a quarantined part is taken, and no load is counted.
func (g *Gateway) explainWhere(ctx context.Context, question where.Question) where.Answer {
	a := &acceptedCall{view: g.follower.View(), call: &call.Call{
		Host:         question.Host,
		Path:         question.Path,
		APIKey:       question.Key,
		Model:        question.Model,
		PromptTokens: question.PromptTokens,
		SharedParts:  question.Parts,
		Timeout:      question.TimeLeft,
	}}
	age, known := g.follower.Age()
	if !known {
		age = -1
	}
	answer := where.Answer{ViewAge: age}
	if a.view.Index != nil {
		answer.Configuration = a.view.Configuration.Version
	}
	err := g.resolve(a)
	if a.route != nil {
		answer.Route = a.route.Name
	}
	if a.workspace != nil {
		answer.Workspace = a.workspace.Name
	}
	if err != nil {
		answer.Result, answer.Reason = resultOf(err), fault.Explain(err)
		return answer
	}
	f := g.newForwarder(nil, (&http.Request{}).WithContext(ctx), a, time.Now())
	defer f.cancel()
	f.explain(&answer)
	return answer
}

// resultOf returns the result for a request that the gateway does not accept.
func resultOf(err error) where.Result {
	if fault.Is(err, fault.NotFound) || fault.Is(err, fault.UnknownWorkspace) {
		return where.Unknown
	}
	return where.Refused
}

// explain fills in the endpoints of an accepted call and the choice among them.
func (f *forwarder) explain(answer *where.Answer) {
	view := f.g.follower.View()
	query := f.query(view)
	answer.Service, answer.MinVersion, answer.TimeLeft = f.service, query.MinVersion, f.timeout()
	available := view.AvailableEndpoints(f.service)
	takesRequests := make(map[catalog.EndpointID]bool)
	for _, endpoint := range available {
		takesRequests[endpoint.ID] = true
	}
	for _, endpoint := range view.RegisteredEndpoints(f.service) {
		if !takesRequests[endpoint.ID] {
			answer.LeftOut = append(answer.LeftOut, where.LeftOut{Endpoint: endpoint.ID, Reason: reasonUnavailable(view, endpoint)})
		}
	}
	for _, e := range f.g.placer.Explain(available, query) {
		if e.LeftOut != "" {
			answer.LeftOut = append(answer.LeftOut, where.LeftOut{Endpoint: e.Endpoint.ID, Reason: e.LeftOut})
			continue
		}
		answer.Candidates = append(answer.Candidates, where.Candidate{
			Endpoint:  e.Endpoint.ID,
			Load:      e.Score.Load,
			Region:    e.Score.Region,
			Refusal:   e.Score.Refusal,
			Requests:  e.Load,
			Slots:     e.Endpoint.Slots,
			ReportAge: e.ReportAge,
			Direct:    f.route.Generates && !f.g.sidecars.reachable(e.Endpoint.ID, query.Now),
			Cold:      e.Endpoint.IsCold(bootclock.Now()),
		})
	}
	f.explainChoice(answer, available)
}

// explainChoice fills in the first choice and the next one, or why the call would be refused.
func (f *forwarder) explainChoice(answer *where.Answer, available []*catalog.Endpoint) {
	if f.timeout() <= 0 {
		answer.Result, answer.Reason = where.Refused, "the time left is too short to bring an answer back"
		return
	}
	f.quarantined = len(f.g.quarantine.Blocked(f.parts)) > 0
	first := f.pick()
	if f.quarantined || first == nil {
		answer.Result, answer.Reason = where.Refused, fault.Explain(f.finalError())
		return
	}
	answer.Result, answer.First = where.Served, first.endpoint.ID
	f.tried[first.endpoint.ID] = true
	if next := f.g.placer.Pick(available, f.query(f.g.follower.View())); next != nil {
		answer.Alternative = next.ID
	}
}

// reasonUnavailable returns why a registered endpoint takes no new requests.
func reasonUnavailable(view *catalog.View, endpoint *catalog.Endpoint) string {
	if view.Evacuated[endpoint.FailureDomain] {
		return "its failure domain is evacuated"
	}
	return "the registry lists it as draining"
}
