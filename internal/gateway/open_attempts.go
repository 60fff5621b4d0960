package gateway

// openAttempt is an attempt that may still answer the call.
type openAttempt struct {
	id     int  // index in forwarder.attempts
	silent bool // its endpoint has sent nothing for longer than is allowed
}

// openAttempts decides which attempts of a call go on. While an endpoint is silent, another one may be asked beside it, and the one
// that goes on first ends the other. It knows neither clock nor network.
type openAttempts []openAttempt

// decision is what follows from a report.
type decision struct {
	deliver   bool  // pass what the report holds on to the caller
	ask       bool  // ask another endpoint, if the call may run there
	overtaken []int // attempts to end, because another one has gone on
}

// begin returns the open attempts with a new one.
func (o openAttempts) begin(id int) openAttempts { return append(o, openAttempt{id: id}) }

// after returns the open attempts after a report of one of them, and what to do. An answer that is not for the caller counts as
// reportFailed. A report of an attempt that is not open changes nothing.
func (o openAttempts) after(kind reportKind, id int) (openAttempts, decision) {
	if !o.has(id) {
		return o, decision{}
	}
	others := o.without(id)
	switch kind {
	case reportSilent:
		rest := append(others, openAttempt{id: id, silent: true})
		return rest, decision{ask: rest.allSilent()}
	case reportComment: // shows that the endpoint runs, but not that it gets on
		return o, decision{deliver: len(others) == 0}
	case reportEvent:
		return openAttempts{{id: id}}, decision{deliver: true, overtaken: others.ids()}
	case reportWhole:
		return nil, decision{deliver: true, overtaken: others.ids()}
	case reportFailed:
		return others, decision{ask: others.allSilent()}
	}
	return o, decision{}
}

func (o openAttempts) has(id int) bool { return len(o.without(id)) < len(o) }

func (o openAttempts) without(id int) openAttempts {
	var rest openAttempts
	for _, a := range o {
		if a.id != id {
			rest = append(rest, a)
		}
	}
	return rest
}

func (o openAttempts) allSilent() bool {
	for _, a := range o {
		if !a.silent {
			return false
		}
	}
	return true
}

func (o openAttempts) ids() []int {
	var ids []int
	for _, a := range o {
		ids = append(ids, a.id)
	}
	return ids
}
