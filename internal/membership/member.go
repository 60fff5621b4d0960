// Package membership holds what a node knows of all hosts of the system: the record that each process spreads of
// itself, the verdict on it, and how the platform lists the host. It is pure: time and randomness are arguments.
package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Member is one host as this node knows it.
type Member struct {
	Record   wire.Record // Life is 0 while nothing was heard of its process
	Verdict  wire.Verdict
	Listed   uint64         // version of the listing, 0 while the platform never listed it
	Listing  core.HostState // "" when it is not listed
	ListedAt core.Host      // without its state
	id       core.HostID
	hash     uint64
}

// ID returns the member's host slot.
func (m *Member) ID() core.HostID { return m.id }

// Host returns the host as its process describes it, or else as the platform lists it.
func (m *Member) Host() core.Host {
	if m.Record.Life > 0 {
		return m.Record.Host
	}
	return m.ListedAt
}

// Removed tells whether the platform listed the host and does so no more.
func (m *Member) Removed() bool { return m.Listed > 0 && m.Listing == "" }

// Usable tells whether the member's process is taken to run.
func (m *Member) Usable() bool {
	return m.Record.Life > 0 && m.Verdict != wire.Dead && !m.Removed()
}

// update describes the member to others; full adds what a receiver needs that has never heard of this life.
func (m *Member) update(full bool) wire.Update {
	update := wire.Update{
		Host:       m.id,
		Life:       m.Record.Life,
		Sequence:   m.Record.Sequence,
		Verdict:    m.Verdict,
		Phase:      m.Record.Phase,
		Generation: m.Record.Generation,
		Versions:   m.Record.Versions,
		Listed:     m.Listed,
		Listing:    m.Listing,
	}
	if !full {
		return update
	}
	if m.Record.Life > 0 {
		host := m.Record.Host
		update.At = &host
		update.Incarnation = m.Record.Incarnation
	}
	if m.Listed > 0 && m.ListedAt != stateless(m.Record.Host) {
		host := m.ListedAt
		update.ListedAt = &host
	}
	return update
}

// stateless returns the host without its state, which the listing carries by itself.
func stateless(host core.Host) core.Host {
	host.State = ""
	return host
}

// compareRecord orders the update's record against the member's: positive when the update is newer.
func (m *Member) compareRecord(update wire.Update) int {
	incarnation := update.Incarnation
	if incarnation == 0 {
		incarnation = m.Record.Incarnation
	}
	return cmp.Or(
		cmp.Compare(update.Life, m.Record.Life),
		cmp.Compare(incarnation, m.Record.Incarnation),
		cmp.Compare(update.Sequence, m.Record.Sequence),
		cmp.Compare(update.Verdict, m.Verdict),
	)
}

func (m *Member) compareListing(update wire.Update) int {
	return cmp.Or(cmp.Compare(update.Listed, m.Listed), cmp.Compare(update.Listing, m.Listing))
}

// rehash returns the hash of the member's versions under the salt.
func (m *Member) rehash(salt uint64) uint64 {
	raw := make([]byte, 0, 96)
	raw = append(raw, m.id...)
	for _, number := range []uint64{salt, m.Record.Life, uint64(m.Record.Incarnation), m.Record.Sequence, uint64(m.Verdict), m.Listed} {
		raw = binary.LittleEndian.AppendUint64(raw, number)
	}
	raw = append(raw, m.Listing...)
	return xxhash.Sum64(raw)
}
