package membership

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Delegate tells whether this node is one of the count hosts of its failure domain that rendezvous hashing chooses
// among those that may: the hosts believed live, which this node can reach.
func (t *Table) Delegate(count int, may func(core.HostID) bool) bool {
	domain := t.Self().Host.FailureDomain
	own := score(domain, t.self)
	ahead := 0
	for id, member := range t.All {
		if id == t.self || !member.Usable() || member.Record.Host.FailureDomain != domain || !may(id) {
			continue
		}
		if score(domain, id) > own {
			ahead++
		}
	}
	return ahead < count
}

func score(domain core.FailureDomain, id core.HostID) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(id))
}

// Pick draws up to count different members that match.
func (t *Table) Pick(random *rand.Rand, count int, matches func(core.HostID, *Member) bool) []core.Host {
	var matching []*Member
	for id, member := range t.All {
		if id != t.self && member.Host().ControlAddress != "" && matches(id, member) {
			matching = append(matching, member)
		}
	}
	count = min(count, len(matching))
	picked := make([]core.Host, 0, count)
	for i := range count {
		j := i + random.IntN(len(matching)-i)
		matching[i], matching[j] = matching[j], matching[i]
		picked = append(picked, matching[i].Host())
	}
	return picked
}
