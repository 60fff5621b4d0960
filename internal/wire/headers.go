package wire

// HeaderForRegion is set on a request for a chunk that the host fetches on behalf of its region, from a host of another one.
const HeaderForRegion = "Lovage-For-Region"

// HeaderForVersion names the version that a chunk is fetched for. A host that wants the version by another manifest tells so.
const HeaderForVersion = "Lovage-For-Version"

// Headers between a gateway and the sidecar of an endpoint.
const (
	// HeaderRefused is set by a sidecar on the response to a request that it refused and did not run. Its value is the
	// reason.
	HeaderRefused = "Lovage-Refused"
	// HeaderRequest is set by a sidecar on refusals to the id of the request, which tells them from late responses.
	HeaderRequest = "Lovage-Request"
	// HeaderLoad reports the requests running and waiting at the endpoint, its concurrency limit, how long work takes now in
	// percent of its published costs, and the prompt tokens not yet read, as "running,waiting,limit,slowdown,pending". Earlier
	// releases send only the first three.
	HeaderLoad = "Lovage-Load"
	// HeaderLeaving is set to "1" by a sidecar on refusals once its engine has said that it is shutting down.
	HeaderLeaving = "Lovage-Leaving"
	// HeaderHoldOff is set by a sidecar on refusals while its engine wants no requests from it. Its value is the remaining
	// time in milliseconds.
	HeaderHoldOff = "Lovage-Hold-Off-Ms"
	// HeaderChanging is set to "1" by a sidecar on refusals because of a change of weights, which its load does not show.
	HeaderChanging = "Lovage-Changing-Weights"
	// HeaderQuarantined is set to "1" by a sidecar on refusals of requests whose prompt has a quarantined part. Other endpoints
	// refuse them as well.
	HeaderQuarantined = "Lovage-Quarantined"
	// HeaderTrial is set to "1" on the one request with a quarantined part that may run to show whether it still crashes engines.
	HeaderTrial = "Lovage-Trial"
	// HeaderFraming is set by a sidecar on the engine's response to how its end is marked, which the sidecar's own framing
	// does not show. Its values are those of dispatch.Framing.
	HeaderFraming = "Lovage-Framing"
	// HeaderFirstEvent is the maximum time to the first event of a stream, in milliseconds. A sidecar that expects to
	// take longer refuses the request, so that the gateway can try another endpoint.
	HeaderFirstEvent = "Lovage-First-Event-Ms"
	// HeaderRank is the request's rank, where 0 is the most urgent: the one of its workspace, if that has one, times ten, plus the
	// one of its route.
	HeaderRank = "Lovage-Rank"
	// HeaderAim is the time until the request's first event is late and the longest pause between two events that is on time, in
	// milliseconds, as "first,pause"; 0 for none.
	HeaderAim = "Lovage-Aim-Ms"
	// HeaderReturned is set to "1" on a request that was refused before and has come back.
	HeaderReturned = "Lovage-Returned"
	// HeaderRepeatable is set to "1" on a request that may run more than once.
	HeaderRepeatable = "Lovage-Repeatable"
	// HeaderTakenBack is set to "1" by a sidecar on the refusal of a request that its engine had received and had not begun.
	HeaderTakenBack = "Lovage-Taken-Back"
	// HeaderForecast is set by a sidecar on refusals for lack of room to the time until a request of the same rank would begin,
	// in milliseconds.
	HeaderForecast = "Lovage-Forecast-Ms"
	// HeaderMinVersion is the minimum version of the weights that may run the request. A sidecar whose engine
	// serves an older one refuses it.
	HeaderMinVersion = "Lovage-Least-Version"
)
