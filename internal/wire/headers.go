package wire

// Headers between a gateway and the sidecar of an endpoint.
const (
	// HeaderRefused is set by a sidecar that refuses a request, which then has not run. Its value is the reason.
	HeaderRefused = "Lovage-Refused"
	// HeaderLoad tells the requests that run and wait at the endpoint and how many it runs at once: "running,waiting,limit".
	HeaderLoad = "Lovage-Load"
	// HeaderFirstEvent bounds the time until the first event of a stream, in milliseconds: a sidecar that expects it
	// later refuses the request, so that another endpoint can be asked.
	HeaderFirstEvent = "Lovage-First-Event-Ms"
	// HeaderLeastVersion is the oldest version of the weights that may run the request. A sidecar whose engine serves an
	// older one refuses.
	HeaderLeastVersion = "Lovage-Least-Version"
)
