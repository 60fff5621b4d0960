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
	digestBytes    = 6  // size of one member's entry in a digest
	digestIDBytes  = 4  // the hash of the host ID, at the start of an entry
	stateHashShift = 48 // shift that leaves the upper 16 bits
)

// enqueue queues the member's state for gossip. It replaces a queued update about the same member. The update is not
// sent back to the source.
func (t *Table) enqueue(id core.HostID, full bool, source core.HostID) {
	if queued := t.gossipQueue[id]; queued != nil {
		full = full || queued.full
	}
	remaining := gossipTransmissions
	if t.members[id].Record.Phase == wire.PhaseDraining {
		remaining = drainGossipTransmissions
	}
	t.gossipQueue[id] = &queuedUpdate{host: id, remaining: remaining, full: full, source: source}
}

// NextGossip returns the queued updates to send to the peer, those sent least often first, and counts them as sent. For
// an empty peer it considers all queued updates.
func (t *Table) NextGossip(peer core.HostID) wire.Updates {
	due := make([]*queuedUpdate, 0, len(t.gossipQueue))
	for _, queued := range t.gossipQueue {
		if queued.source != peer || peer == "" {
			due = append(due, queued)
		}
	}
	slices.SortFunc(due, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.host, b.host))
	})
	due = due[:min(len(due), maxUpdatesPerMessage)]
	updates := make(wire.Updates, 0, len(due))
	for _, queued := range due {
		updates = append(updates, t.members[queued.host].asUpdate(queued.full))
		queued.remaining--
		if queued.remaining == 0 {
			delete(t.gossipQueue, queued.host)
		}
	}
	return updates
}

// HasGossip reports whether updates are queued for gossip.
func (t *Table) HasGossip() bool { return len(t.gossipQueue) > 0 }

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
	entry := binary.BigEndian.AppendUint32(make([]byte, 0, digestBytes), idHash(member.id))
	return binary.BigEndian.AppendUint16(entry, uint16(member.computeHash(salt)>>stateHashShift))
}

func idHash(id core.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Differences compares the table with another node's digest. It returns full updates for the members that differ or are
// missing there, and the host ID hashes of members that are missing here.
func (t *Table) Differences(digest *wire.Digest) (updates wire.Updates, missing []uint32) {
	stateHashes := make(map[uint32]uint16, len(digest.Members)/digestBytes)
	keys := make([]uint32, 0, len(digest.Members)/digestBytes)
	for entry := range slices.Chunk(digest.Members, digestBytes) {
		if len(entry) < digestBytes {
			break
		}
		key := binary.BigEndian.Uint32(entry)
		stateHashes[key] = binary.BigEndian.Uint16(entry[digestIDBytes:])
		keys = append(keys, key)
	}
	known := make(map[uint32]bool, len(t.order))
	for _, member := range t.order {
		key := idHash(member.id)
		known[key] = true
		stateHash, present := stateHashes[key]
		if !present || stateHash != uint16(member.computeHash(digest.Salt)>>stateHashShift) {
			updates = append(updates, member.asUpdate(true))
		}
	}
	for _, key := range keys {
		if !known[key] {
			missing = append(missing, key)
		}
	}
	return updates, missing
}

// UpdatesFor returns full updates for the members whose host ID hash is in missing or whose host ID is in ids.
func (t *Table) UpdatesFor(missing []uint32, ids []core.HostID) wire.Updates {
	wanted := make(map[core.HostID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	var updates wire.Updates
	for _, member := range t.order {
		if wanted[member.id] || slices.Contains(missing, idHash(member.id)) {
			updates = append(updates, member.asUpdate(true))
		}
	}
	return updates
}

// UpdateFor returns a full update for one member. The result is empty if the host is unknown.
func (t *Table) UpdateFor(id core.HostID) wire.Updates {
	return t.UpdatesFor(nil, []core.HostID{id})
}
