package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	transmissions      = 3               // messages in which a node passes a change on
	drainTransmissions = 6               // the same for a host that drains
	maxRumours         = 128             // changes in one message
	suspectTimeout     = 4 * time.Second // from suspicion to death, for the member to refute it
)

// Table holds all members, in order of host.
type Table struct {
	self     core.HostID
	members  map[core.HostID]*Member
	order    []*Member
	rumours  map[core.HostID]*rumour
	suspects map[core.HostID]time.Duration // when each suspicion becomes a death
	raised   map[core.Incarnation]bool     // earlier lives of this host that the own life was raised above
	hash     uint64
}

// rumour is a change that is still passed on.
type rumour struct {
	about core.HostID
	left  int // messages that will still carry it
	full  bool
	from  core.HostID // who told it, "" for this node
}

// NewTable returns the table of a process that starts with the record.
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

// Hash returns a hash of all members. Nodes that hold the same members have the same hash.
func (t *Table) Hash() uint32 { return uint32(t.hash) }

// Self returns the own record.
func (t *Table) Self() wire.Record { return t.members[t.self].Record }

// Member returns the member, or nil. It must not be changed.
func (t *Table) Member(id core.HostID) *Member { return t.members[id] }

// Len returns the number of members.
func (t *Table) Len() int { return len(t.order) }

// Members returns all members in order of host. They must not be changed.
func (t *Table) Members() []*Member { return t.order }

// SetSelf changes the own record. A change that others have to know raises its sequence and is passed on.
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

// Merge takes what another node said, and passes on what was news.
func (t *Table) Merge(update wire.Update, from core.HostID, now time.Duration) Merged {
	merged := t.Learn(update, now)
	if merged.News && update.Host != t.self {
		t.spread(update.Host, merged.Full, from)
	}
	return merged
}

// Learn is Merge without passing on: for what a joining node is told, which the others know.
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

// Merged is what Merge made of an update.
type Merged struct {
	News       bool // it changed the member
	Older      bool // the table holds something newer
	Incomplete bool // it tells of a life whose host is not known here
	Full       bool // the receivers of the next message may not know the host either
}

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

// mergeSelf refutes verdicts on this process, and raises its life above that of an earlier process on this host. It
// does so once for each, so that two processes that run under one name do not outbid each other for ever.
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

// Accuse takes a verdict on a member's present record, unless one as grave stands.
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

// Expire turns suspicions that were not refuted into deaths. Every node does so by itself.
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

func (t *Table) setVerdict(member *Member, verdict wire.Verdict, now time.Duration) {
	member.Verdict = verdict
	delete(t.suspects, member.id)
	if verdict == wire.Suspect {
		t.suspects[member.id] = now + suspectTimeout
	}
}

// List takes the platform's host list. With tell it passes on how the list differs from what was known.
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

// touched keeps the table's hash after a change of the member.
func (t *Table) touched(id core.HostID) {
	member := t.members[id]
	t.hash ^= member.hash
	member.hash = member.rehash(0)
	t.hash ^= member.hash
}
