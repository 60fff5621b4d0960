// Package membership keeps a node's table of all hosts in the system. For each host it holds the record that the host's
// process gossips about itself, the health verdict on that process, and the platform's listing of the host. The package
// does no I/O and reads no clock: time and randomness are arguments.
package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Member is what this node knows about one host.
type Member struct {
	Record         wire.Record // StartEpoch is 0 until a record of the host's process has been received
	Verdict        wire.Verdict
	ListingVersion uint64         // version of the listing; 0 if the platform has never listed the host
	ListedState    core.HostState // "" if the host is not listed
	ListedHost     core.Host      // as listed by the platform, with an empty State
	id             core.HostID
	hash           uint64
}

// ID returns the member's host ID.
func (m *Member) ID() core.HostID { return m.id }

// Host returns the host as its process describes it. Before a record has been received, it returns the host as the
// platform lists it.
func (m *Member) Host() core.Host {
	if m.Record.StartEpoch > 0 {
		return m.Record.Host
	}
	return m.ListedHost
}

// Removed reports whether the platform listed the host before but no longer does.
func (m *Member) Removed() bool { return m.ListingVersion > 0 && m.ListedState == "" }

// Usable reports whether the member's process is believed to be running.
func (m *Member) Usable() bool {
	return m.Record.StartEpoch > 0 && m.Verdict != wire.Dead && !m.Removed()
}

// asUpdate returns the gossip message about the member. With full, it includes the host's description, which a receiver
// needs if it has no record with this StartEpoch.
func (m *Member) asUpdate(full bool) wire.Update {
	update := wire.Update{
		Host:           m.id,
		StartEpoch:     m.Record.StartEpoch,
		Sequence:       m.Record.Sequence,
		Verdict:        m.Verdict,
		Phase:          m.Record.Phase,
		Generation:     m.Record.Generation,
		Versions:       m.Record.Versions,
		ListingVersion: m.ListingVersion,
		Listing:        m.ListedState,
	}
	if !full {
		return update
	}
	if m.Record.StartEpoch > 0 {
		host := m.Record.Host
		update.HostInfo = &host
		update.Incarnation = m.Record.Incarnation
	}
	if m.ListingVersion > 0 && m.ListedHost != withoutState(m.Record.Host) {
		host := m.ListedHost
		update.ListedHost = &host
	}
	return update
}

// withoutState returns the host with an empty State. The state is sent separately, as the update's Listing.
func withoutState(host core.Host) core.Host {
	host.State = ""
	return host
}

// compareRecord compares the update's record with the member's. The result is positive if the update is newer.
func (m *Member) compareRecord(update wire.Update) int {
	incarnation := update.Incarnation
	if incarnation == 0 {
		incarnation = m.Record.Incarnation
	}
	return cmp.Or(
		cmp.Compare(update.StartEpoch, m.Record.StartEpoch),
		cmp.Compare(incarnation, m.Record.Incarnation),
		cmp.Compare(update.Sequence, m.Record.Sequence),
		cmp.Compare(update.Verdict, m.Verdict),
	)
}

// compareListing compares the update's listing with the member's. The result is positive if the update is newer.
func (m *Member) compareListing(update wire.Update) int {
	return cmp.Or(cmp.Compare(update.ListingVersion, m.ListingVersion), cmp.Compare(update.Listing, m.ListedState))
}

// computeHash returns a salted hash of the member's record version, verdict and listing.
func (m *Member) computeHash(salt uint64) uint64 {
	raw := make([]byte, 0, 96)
	raw = append(raw, m.id...)
	for _, number := range []uint64{salt, m.Record.StartEpoch, uint64(m.Record.Incarnation), m.Record.Sequence, uint64(m.Verdict), m.ListingVersion} {
		raw = binary.LittleEndian.AppendUint64(raw, number)
	}
	raw = append(raw, m.ListedState...)
	return xxhash.Sum64(raw)
}
