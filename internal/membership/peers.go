package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// IsDelegate reports whether this node is one of the count delegates of its failure domain. Rendezvous hashing selects
// the delegates from this node and the usable, eligible hosts of the domain.
func (t *Table) IsDelegate(count int, eligible func(core.HostID) bool) bool {
	domain := t.Self().Host.FailureDomain
	ownScore := score(domain, t.self)
	higher := 0
	for _, member := range t.order {
		if member.Record.Host.FailureDomain != domain || member.id == t.self || !member.Usable() || !eligible(member.id) {
			continue
		}
		if score(domain, member.id) > ownScore {
			higher++
		}
		if higher == count {
			return false
		}
	}
	return true
}

// score returns the host's rendezvous hash weight in the failure domain.
func score(domain core.FailureDomain, id core.HostID) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(id))
}

const maxRandomDraws = 32 // random draws before falling back to a scan of all members

// Pick returns up to count distinct random members that match. It leaves out this node and members without a control
// address.
func (t *Table) Pick(random *rand.Rand, count int, matches func(*Member) bool) []core.Host {
	var picked []*Member
	eligible := func(member *Member) bool {
		return member.id != t.self && member.Host().ControlAddress != "" && matches(member)
	}
	for draws := 0; draws < maxRandomDraws && len(picked) < count; draws++ {
		member := t.order[random.IntN(len(t.order))]
		if eligible(member) && !slices.Contains(picked, member) {
			picked = append(picked, member)
		}
	}
	if len(picked) < count {
		picked = t.pickByScan(random, count, eligible)
	}
	hosts := make([]core.Host, len(picked))
	for i, member := range picked {
		hosts[i] = member.Host()
	}
	return hosts
}

// pickByScan collects every eligible member and returns up to count of them, chosen at random.
func (t *Table) pickByScan(random *rand.Rand, count int, eligible func(*Member) bool) []*Member {
	var all []*Member
	for _, member := range t.order {
		if eligible(member) {
			all = append(all, member)
		}
	}
	count = min(count, len(all))
	for i := range count {
		j := i + random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:count]
}
