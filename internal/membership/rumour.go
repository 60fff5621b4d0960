package membership

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	digestBytes      = 6  // size of one member's entry in a digest
	digestNameBytes  = 4  // the hash of the host ID, at the start of an entry
	versionHashShift = 48 // shift that leaves the upper 16 bits
)

// spread queues the member's state for gossip. It replaces a queued update about the same member. The update is not
// sent back to from.
func (t *Table) spread(id core.HostID, full bool, from core.HostID) {
	if standing := t.rumours[id]; standing != nil {
		full = full || standing.full
	}
	left := transmissions
	if t.members[id].Record.Phase == wire.PhaseDraining {
		left = drainTransmissions
	}
	t.rumours[id] = &rumour{about: id, left: left, full: full, from: from}
}

// Rumours returns the queued updates to send to the peer, those sent least often first, and counts them as sent. For an
// empty peer it considers all queued updates.
func (t *Table) Rumours(peer core.HostID) wire.Updates {
	due := make([]*rumour, 0, len(t.rumours))
	for _, rumour := range t.rumours {
		if rumour.from != peer || peer == "" {
			due = append(due, rumour)
		}
	}
	slices.SortFunc(due, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.about, b.about))
	})
	due = due[:min(len(due), maxRumours)]
	updates := make(wire.Updates, 0, len(due))
	for _, rumour := range due {
		updates = append(updates, t.members[rumour.about].update(rumour.full))
		rumour.left--
		if rumour.left == 0 {
			delete(t.rumours, rumour.about)
		}
	}
	return updates
}

// Spreading reports whether updates are queued for gossip.
func (t *Table) Spreading() bool { return len(t.rumours) > 0 }

// Digest returns a salted digest of the table, which another node compares with its own table.
func (t *Table) Digest(salt uint64) *wire.Digest {
	entries := make([][]byte, 0, len(t.order))
	for _, member := range t.order {
		entries = append(entries, digestEntry(member, salt))
	}
	slices.SortFunc(entries, bytes.Compare)
	return &wire.Digest{Salt: salt, Members: slices.Concat(entries...)}
}

// digestEntry returns the hash of the member's host ID followed by a truncated hash of its state.
func digestEntry(member *Member, salt uint64) []byte {
	entry := binary.BigEndian.AppendUint32(make([]byte, 0, digestBytes), nameHash(member.id))
	return binary.BigEndian.AppendUint16(entry, uint16(member.rehash(salt)>>versionHashShift))
}

func nameHash(id core.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Differences compares the table with another node's digest. It returns full updates for the members that differ or are
// missing there, and the host ID hashes of members that are missing here.
func (t *Table) Differences(digest *wire.Digest) (updates wire.Updates, missing []uint32) {
	versions := make(map[uint32]uint16, len(digest.Members)/digestBytes)
	names := make([]uint32, 0, len(digest.Members)/digestBytes)
	for entry := range slices.Chunk(digest.Members, digestBytes) {
		if len(entry) < digestBytes {
			break
		}
		name := binary.BigEndian.Uint32(entry)
		versions[name] = binary.BigEndian.Uint16(entry[digestNameBytes:])
		names = append(names, name)
	}
	known := make(map[uint32]bool, len(t.order))
	for _, member := range t.order {
		name := nameHash(member.id)
		known[name] = true
		version, both := versions[name]
		if !both || version != uint16(member.rehash(digest.Salt)>>versionHashShift) {
			updates = append(updates, member.update(true))
		}
	}
	for _, name := range names {
		if !known[name] {
			missing = append(missing, name)
		}
	}
	return updates, missing
}

// Named returns full updates for the members whose host ID hash is in missing or whose host ID is in ids.
func (t *Table) Named(missing []uint32, ids []core.HostID) wire.Updates {
	wanted := make(map[core.HostID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	var updates wire.Updates
	for _, member := range t.order {
		if wanted[member.id] || slices.Contains(missing, nameHash(member.id)) {
			updates = append(updates, member.update(true))
		}
	}
	return updates
}

// About returns a full update for one member. The result is empty if the host is unknown.
func (t *Table) About(id core.HostID) wire.Updates {
	return t.Named(nil, []core.HostID{id})
}
