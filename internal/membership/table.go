package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	transmissions      = 3               // number of messages in which a node repeats an update
	drainTransmissions = 6               // the same, for an update about a draining host
	maxRumours         = 128             // updates in one message
	suspectTimeout     = 4 * time.Second // time that a suspect member has to refute the suspicion before it is declared dead
)

// Table holds all members, ordered by host ID.
type Table struct {
	self     core.HostID
	members  map[core.HostID]*Member
	order    []*Member
	rumours  map[core.HostID]*rumour
	suspects map[core.HostID]time.Duration // when each suspect is declared dead
	raised   map[core.Incarnation]bool     // earlier processes of this host above whose Life this process has raised its own
	hash     uint64
}

// rumour is an update that is queued for gossip.
type rumour struct {
	about core.HostID
	left  int         // remaining messages in which to send it
	full  bool        // include the host's description
	from  core.HostID // node that sent it; "" if it originated here
}

// NewTable returns a table that holds only this process's own record.
func NewTable(self wire.Record) *Table {
	table := &Table{
		self:     self.Host.ID,
		members:  make(map[core.HostID]*Member),
		rumours:  make(map[core.HostID]*rumour),
		suspects: make(map[core.HostID]time.Duration),
		raised:   make(map[core.Incarnation]bool),
	}
	table.add(self.Host.ID).Record = self
	table.touched(self.Host.ID)
	table.spread(self.Host.ID, true, "")
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

// SetSelf changes this process's own record. With tell, it also increments the record's sequence number and queues the
// record for gossip.
func (t *Table) SetSelf(change func(*wire.Record), tell bool) {
	record := &t.members[t.self].Record
	change(record)
	if !tell {
		return
	}
	record.Sequence++
	t.touched(t.self)
	t.spread(t.self, false, "")
}

// Merge applies an update received from another node and queues it for gossip if it changed the table.
func (t *Table) Merge(update wire.Update, from core.HostID, now time.Duration) Merged {
	merged := t.Learn(update, now)
	if merged.News && update.Host != t.self {
		t.spread(update.Host, merged.Full, from)
	}
	return merged
}

// Learn applies an update like Merge but does not gossip it further. It is used for the bulk of updates that a joining
// node receives, which the other nodes already have.
func (t *Table) Learn(update wire.Update, now time.Duration) Merged {
	if update.Host == t.self {
		return t.mergeSelf(update)
	}
	member := t.members[update.Host]
	if member == nil {
		member = t.introduce(update)
	}
	if member == nil {
		return Merged{Incomplete: true}
	}
	merged := t.mergeRecord(member, update, now)
	listing := t.mergeListing(member, update)
	merged.News = merged.News || listing.News
	merged.Older = merged.Older || listing.Older
	merged.Full = merged.Full || listing.Full
	if merged.News {
		t.touched(update.Host)
	}
	return merged
}

// Merged is the result of merging an update.
type Merged struct {
	News       bool // the update changed the member
	Older      bool // the table holds newer data than the update
	Incomplete bool // the update lacks the host's description and the table has none for this process
	Full       bool // receivers of the forwarded update may need the host's description as well
}

// introduce adds the update's host to the table. It returns nil if the update does not describe the host.
func (t *Table) introduce(update wire.Update) *Member {
	if update.At == nil && update.ListedAt == nil {
		return nil
	}
	return t.add(update.Host)
}

func (t *Table) mergeRecord(member *Member, update wire.Update, now time.Duration) Merged {
	if update.Life == 0 {
		return Merged{Older: member.Record.Life > 0}
	}
	order := member.compareRecord(update)
	if order <= 0 {
		return Merged{Older: order < 0}
	}
	newLife := update.Life != member.Record.Life || update.Incarnation != 0 && update.Incarnation != member.Record.Incarnation
	if newLife && update.At == nil {
		return Merged{Incomplete: true}
	}
	if newLife {
		member.Record.Host = *update.At
		member.Record.Incarnation = update.Incarnation
		member.Record.Life = update.Life
	}
	member.Record.Sequence = update.Sequence
	member.Record.Phase = update.Phase
	member.Record.Generation = max(member.Record.Generation, update.Generation)
	member.Record.Versions = update.Versions
	t.setVerdict(member, update.Verdict, now)
	return Merged{News: true, Full: newLife}
}

func (t *Table) mergeListing(member *Member, update wire.Update) Merged {
	order := member.compareListing(update)
	if order <= 0 {
		return Merged{Older: order < 0}
	}
	first := member.Listed == 0
	member.Listed = update.Listed
	member.Listing = update.Listing
	switch {
	case update.ListedAt != nil:
		member.ListedAt = *update.ListedAt
	case update.At != nil:
		member.ListedAt = stateless(*update.At)
	case first:
		member.ListedAt = stateless(member.Record.Host)
	}
	return Merged{News: true, Full: first || update.ListedAt != nil}
}

// mergeSelf refutes verdicts on this process by raising its sequence number. It also raises this process's Life above
// that of another process on this host, but only once for each incarnation. Otherwise two processes that run under the
// same host ID would raise their Life above each other's without end.
func (t *Table) mergeSelf(update wire.Update) Merged {
	member := t.members[t.self]
	listing := t.mergeListing(member, update)
	record := &member.Record
	earlier := update.Life >= record.Life && update.Incarnation != 0 && update.Incarnation != record.Incarnation
	accused := update.Life == record.Life && !earlier && (update.Sequence > record.Sequence || update.Sequence == record.Sequence && update.Verdict != wire.Alive)
	switch {
	case earlier && !t.raised[update.Incarnation]:
		t.raised[update.Incarnation] = true
		record.Life = update.Life + 1
		record.Sequence++
		listing.Full = true
	case accused:
		record.Sequence = update.Sequence + 1
	case update.Life > record.Life && update.Incarnation == 0:
		return Merged{Incomplete: true}
	case !listing.News:
		listing.Older = listing.Older || update.Life < record.Life || !earlier && update.Sequence < record.Sequence
		return listing
	}
	t.touched(t.self)
	t.spread(t.self, listing.Full, "")
	return Merged{News: true, Full: listing.Full}
}

// Accuse sets a verdict on the member's current record and queues it for gossip. It reports whether the verdict changed.
// A verdict that is as severe or more severe is kept.
func (t *Table) Accuse(id core.HostID, verdict wire.Verdict, now time.Duration) bool {
	member := t.members[id]
	if member == nil || id == t.self || member.Record.Life == 0 || member.Verdict >= verdict {
		return false
	}
	t.setVerdict(member, verdict, now)
	t.touched(id)
	t.spread(id, false, "")
	return true
}

// Expire declares suspects dead that have not refuted the suspicion in time, and reports whether there were any. The
// change is not gossiped, because every node applies the time-out itself.
func (t *Table) Expire(now time.Duration) (changed bool) {
	for id, due := range t.suspects {
		if now < due {
			continue
		}
		t.setVerdict(t.members[id], wire.Dead, now)
		t.touched(id)
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

// List applies the platform's host list and reports whether it changed the table. With tell, the changes are queued for
// gossip.
func (t *Table) List(hosts []core.Host, tell bool) (changed bool) {
	listed := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		listed[host.ID] = host
		if t.members[host.ID] == nil {
			t.add(host.ID)
		}
	}
	for _, member := range t.order {
		changed = t.listOne(member, listed[member.id], tell) || changed
	}
	return changed
}

// listOne applies one entry of the host list. An empty host means that the member is no longer listed.
func (t *Table) listOne(member *Member, host core.Host, tell bool) bool {
	state := host.State
	if host.ID == "" {
		host = member.ListedAt
	} else if state == "" {
		state = core.HostLive
	}
	host.State = ""
	if member.Listing == state && member.ListedAt == host {
		return false
	}
	moved := member.ListedAt != host
	member.Listed++
	member.Listing = state
	member.ListedAt = host
	t.touched(member.id)
	if tell {
		t.spread(member.id, moved, "")
	}
	return true
}

func (t *Table) add(id core.HostID) *Member {
	member := &Member{id: id}
	t.members[id] = member
	at, _ := slices.BinarySearchFunc(t.order, id, func(m *Member, id core.HostID) int { return cmp.Compare(m.id, id) })
	t.order = slices.Insert(t.order, at, member)
	return member
}

// touched updates the hash of the table after a change to the member.
func (t *Table) touched(id core.HostID) {
	member := t.members[id]
	t.hash ^= member.hash
	member.hash = member.rehash(0)
	t.hash ^= member.hash
}
