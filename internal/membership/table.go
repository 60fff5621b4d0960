package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	gossipTransmissions      = 3               // number of messages in which a node repeats an update
	drainGossipTransmissions = 6               // the same, for an update about a draining host
	maxUpdatesPerMessage     = 128             // updates in one message
	suspectTimeout           = 4 * time.Second // time that a suspect member has to refute the suspicion before it is declared dead
)

// Table holds all members, ordered by host ID.
type Table struct {
	self        core.HostID
	members     map[core.HostID]*Member
	order       []*Member
	gossipQueue map[core.HostID]*queuedUpdate
	suspects    map[core.HostID]time.Duration // when each suspect is declared dead
	outranked   map[core.Incarnation]bool     // other processes of this host above whose StartEpoch this process has raised its own
	hash        uint64
}

// queuedUpdate is an update that is queued for gossip.
type queuedUpdate struct {
	host      core.HostID
	remaining int         // remaining messages in which to send it
	full      bool        // include the host's description
	source    core.HostID // node that sent it; "" if it originated here
}

// NewTable returns a table that holds only this process's own record.
func NewTable(self wire.Record) *Table {
	table := &Table{
		self:        self.Host.ID,
		members:     make(map[core.HostID]*Member),
		gossipQueue: make(map[core.HostID]*queuedUpdate),
		suspects:    make(map[core.HostID]time.Duration),
		outranked:   make(map[core.Incarnation]bool),
	}
	table.addMember(self.Host.ID).Record = self
	table.updateHash(self.Host.ID)
	table.enqueue(self.Host.ID, true, "")
	return table
}

// Hash returns a hash of all members. Tables with the same contents have the same hash.
func (t *Table) Hash() uint32 { return uint32(t.hash) }

// Self returns this process's own record.
func (t *Table) Self() wire.Record { return t.members[t.self].Record }

// Member returns the member, or nil if the host is unknown. The caller must not modify it.
func (t *Table) Member(id core.HostID) *Member { return t.members[id] }

// Len returns the number of members.
func (t *Table) Len() int { return len(t.order) }

// Members returns all members, ordered by host ID. The caller must not modify them.
func (t *Table) Members() []*Member { return t.order }

// SetSelf changes this process's own record. With gossip, it also increments the record's sequence number and queues
// the record for gossip.
func (t *Table) SetSelf(change func(*wire.Record), gossip bool) {
	record := &t.members[t.self].Record
	change(record)
	if !gossip {
		return
	}
	record.Sequence++
	t.updateHash(t.self)
	t.enqueue(t.self, false, "")
}

// Merge applies an update received from another node and queues it for gossip if it changed the table.
func (t *Table) Merge(update wire.Update, from core.HostID, now time.Duration) MergeResult {
	merged := t.MergeWithoutGossip(update, now)
	if merged.Changed && update.Host != t.self {
		t.enqueue(update.Host, merged.Full, from)
	}
	return merged
}

// MergeWithoutGossip applies an update like Merge but does not gossip it further. It is used for the bulk of updates
// that a joining node receives, which the other nodes already have.
func (t *Table) MergeWithoutGossip(update wire.Update, now time.Duration) MergeResult {
	if update.Host == t.self {
		return t.mergeSelf(update)
	}
	member := t.members[update.Host]
	if member == nil {
		member = t.addFromUpdate(update)
	}
	if member == nil {
		return MergeResult{NeedsHost: true}
	}
	merged := t.mergeRecord(member, update, now)
	listing := t.mergeListing(member, update)
	merged.Changed = merged.Changed || listing.Changed
	merged.HaveNewer = merged.HaveNewer || listing.HaveNewer
	merged.Full = merged.Full || listing.Full
	if merged.Changed {
		t.updateHash(update.Host)
	}
	return merged
}

// MergeResult is the result of merging an update.
type MergeResult struct {
	Changed   bool // the update changed the member
	HaveNewer bool // the table holds newer data than the update
	NeedsHost bool // the update lacks the host's description and the table has none for this process
	Full      bool // receivers of the forwarded update may need the host's description as well
}

// addFromUpdate adds the update's host to the table. It returns nil if the update does not describe the host.
func (t *Table) addFromUpdate(update wire.Update) *Member {
	if update.HostInfo == nil && update.ListedHost == nil {
		return nil
	}
	return t.addMember(update.Host)
}

func (t *Table) mergeRecord(member *Member, update wire.Update, now time.Duration) MergeResult {
	if update.StartEpoch == 0 {
		return MergeResult{HaveNewer: member.Record.StartEpoch > 0}
	}
	order := member.compareRecord(update)
	if order <= 0 {
		return MergeResult{HaveNewer: order < 0}
	}
	newIncarnation := update.StartEpoch != member.Record.StartEpoch || update.Incarnation != 0 && update.Incarnation != member.Record.Incarnation
	if newIncarnation && update.HostInfo == nil {
		return MergeResult{NeedsHost: true}
	}
	if newIncarnation {
		member.Record.Host = *update.HostInfo
		member.Record.Incarnation = update.Incarnation
		member.Record.StartEpoch = update.StartEpoch
	}
	member.Record.Sequence = update.Sequence
	member.Record.Phase = update.Phase
	member.Record.Generation = max(member.Record.Generation, update.Generation)
	member.Record.Versions = update.Versions
	t.setVerdict(member, update.Verdict, now)
	return MergeResult{Changed: true, Full: newIncarnation}
}

func (t *Table) mergeListing(member *Member, update wire.Update) MergeResult {
	order := member.compareListing(update)
	if order <= 0 {
		return MergeResult{HaveNewer: order < 0}
	}
	first := member.ListingVersion == 0
	member.ListingVersion = update.ListingVersion
	member.ListedState = update.Listing
	switch {
	case update.ListedHost != nil:
		member.ListedHost = *update.ListedHost
	case update.HostInfo != nil:
		member.ListedHost = withoutState(*update.HostInfo)
	case first:
		member.ListedHost = withoutState(member.Record.Host)
	}
	return MergeResult{Changed: true, Full: first || update.ListedHost != nil}
}

// mergeSelf refutes verdicts on this process by raising its sequence number. It also raises this process's
// StartEpoch above that of another process on this host, but only once for each incarnation. Otherwise two processes that
// run under the same host ID would raise their StartEpoch above each other's without end.
func (t *Table) mergeSelf(update wire.Update) MergeResult {
	member := t.members[t.self]
	listing := t.mergeListing(member, update)
	record := &member.Record
	conflicting := update.StartEpoch >= record.StartEpoch && update.Incarnation != 0 && update.Incarnation != record.Incarnation
	needsRefutation := update.StartEpoch == record.StartEpoch && !conflicting && (update.Sequence > record.Sequence || update.Sequence == record.Sequence && update.Verdict != wire.Alive)
	switch {
	case conflicting && !t.outranked[update.Incarnation]:
		t.outranked[update.Incarnation] = true
		record.StartEpoch = update.StartEpoch + 1
		record.Sequence++
		listing.Full = true
	case needsRefutation:
		record.Sequence = update.Sequence + 1
	case update.StartEpoch > record.StartEpoch && update.Incarnation == 0:
		return MergeResult{NeedsHost: true}
	case !listing.Changed:
		listing.HaveNewer = listing.HaveNewer || update.StartEpoch < record.StartEpoch || !conflicting && update.Sequence < record.Sequence
		return listing
	}
	t.updateHash(t.self)
	t.enqueue(t.self, listing.Full, "")
	return MergeResult{Changed: true, Full: listing.Full}
}

// RaiseVerdict sets a verdict on the member's current record and queues it for gossip. It reports whether the verdict
// changed. A verdict that is as severe or more severe is kept.
func (t *Table) RaiseVerdict(id core.HostID, verdict wire.Verdict, now time.Duration) bool {
	member := t.members[id]
	if member == nil || id == t.self || member.Record.StartEpoch == 0 || member.Verdict >= verdict {
		return false
	}
	t.setVerdict(member, verdict, now)
	t.updateHash(id)
	t.enqueue(id, false, "")
	return true
}

// ExpireSuspects declares suspects dead that have not refuted the suspicion in time, and reports whether there were
// any. The change is not gossiped, because every node applies the time-out itself.
func (t *Table) ExpireSuspects(now time.Duration) (changed bool) {
	for id, due := range t.suspects {
		if now < due {
			continue
		}
		t.setVerdict(t.members[id], wire.Dead, now)
		t.updateHash(id)
		changed = true
	}
	return changed
}

// setVerdict sets the member's verdict, and starts or cancels its suspicion time-out.
func (t *Table) setVerdict(member *Member, verdict wire.Verdict, now time.Duration) {
	member.Verdict = verdict
	delete(t.suspects, member.id)
	if verdict == wire.Suspect {
		t.suspects[member.id] = now + suspectTimeout
	}
}

// ApplyHostList applies the platform's host list and reports whether it changed the table. With gossip, the changes are
// queued for gossip.
func (t *Table) ApplyHostList(hosts []core.Host, gossip bool) (changed bool) {
	listed := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		listed[host.ID] = host
		if t.members[host.ID] == nil {
			t.addMember(host.ID)
		}
	}
	for _, member := range t.order {
		changed = t.applyListing(member, listed[member.id], gossip) || changed
	}
	return changed
}

// applyListing applies one entry of the host list. An empty host means that the member is no longer listed.
func (t *Table) applyListing(member *Member, host core.Host, gossip bool) bool {
	state := host.State
	if host.ID == "" {
		host = member.ListedHost
	} else if state == "" {
		state = core.HostLive
	}
	host.State = ""
	if member.ListedState == state && member.ListedHost == host {
		return false
	}
	hostChanged := member.ListedHost != host
	member.ListingVersion++
	member.ListedState = state
	member.ListedHost = host
	t.updateHash(member.id)
	if gossip {
		t.enqueue(member.id, hostChanged, "")
	}
	return true
}

func (t *Table) addMember(id core.HostID) *Member {
	member := &Member{id: id}
	t.members[id] = member
	at, _ := slices.BinarySearchFunc(t.order, id, func(m *Member, id core.HostID) int { return cmp.Compare(m.id, id) })
	t.order = slices.Insert(t.order, at, member)
	return member
}

// updateHash updates the hash of the table after a change to the member.
func (t *Table) updateHash(id core.HostID) {
	member := t.members[id]
	t.hash ^= member.hash
	member.hash = member.computeHash(0)
	t.hash ^= member.hash
}
