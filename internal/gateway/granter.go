package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/granter"
	"github.com/lovageglade/lovageglade/internal/platform"
)

const (
	granterCallTimeout = 150 * time.Millisecond // of one call to the table service in the way of a request
	// granterVerifyInterval is the time between two reads of the row by a gateway that is asked for grants.
	granterVerifyInterval = time.Second
	// granterTrustTime is how long a granter goes on without a read of the row before it waits for one: it may have been suspended, and
	// another one may be in its place.
	granterTrustTime = 3 * time.Second
	// granterReadBackoff is the time between two attempts to read the row.
	granterReadBackoff = 250 * time.Millisecond
	// granterSilence is how long a granter does not answer a gateway before that takes its place.
	granterSilence = time.Second
	// granterRetryDelay is how long a granter that did not answer is not asked again.
	granterRetryDelay = 500 * time.Millisecond
	// minGranterTerm is the shortest time between two changes of the granter, so that few grant the same rate within some seconds.
	minGranterTerm = 4 * time.Second
)

// granterTerm is the granter as the row named it. Terms of one era of the table service are ordered by their revisions.
type granterTerm struct {
	Address   string // control address; "" if the row does not exist
	Revision  platform.Revision
	Era       uint64
	WrittenMs int64 // on the table service's clock
}

// granterElection finds the one gateway that grants permissions to all: a row of the platform's table service names it, whatever each
// gateway's settings name. A gateway that it does not answer takes its place by a conditional write. It reads the row only when
// permissions are needed. It is safe for concurrent use.
type granterElection struct {
	self   string // control address of this gateway
	tables platform.Tables
	logger *log.Logger

	mu          sync.Mutex
	term        granterTerm
	since       time.Duration // when this gateway last became the granter
	readAt      time.Duration // when the row was last read, on the boot clock; 0 before
	triedAt     time.Duration // when a read was last tried
	reading     chan struct{} // closed at the end of the read under way; nil if there is none
	silentSince time.Duration // when the granter of the term first did not answer; 0 if it has answered since
	askedAt     time.Duration // when the granter last did not answer
	checkedAt   time.Duration // when check was last called
}

func newGranterElection(self string, tables platform.Tables, logger *log.Logger) *granterElection {
	return &granterElection{self: self, tables: tables, logger: logger}
}

// current returns the term as far as this gateway knows it. It reads the row if it does not; then it returns false if that fails.
func (e *granterElection) current(ctx context.Context) (granterTerm, bool) {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term.Address == "" {
		term = e.read(ctx)
	}
	return term, term.Address != ""
}

// known returns the granter's address as far as this gateway knows it without a read.
func (e *granterElection) known() (address string, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Address, e.term.Address != ""
}

// isCheckDue returns true once in checkInterval.
func (e *granterElection) isCheckDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkedAt > 0 && bootclock.Now()-e.checkedAt < checkInterval {
		return false
	}
	e.checkedAt = bootclock.Now()
	return true
}

// hasFollower reports whether another granter follows the one of the term, which has not granted: it has named another one, the row does,
// or this gateway takes its place.
func (e *granterElection) hasFollower(ctx context.Context, asked granterTerm, answered bool, answer permission) bool {
	if answered {
		e.learn(*answer.elsewhere())
	}
	if !e.isCurrent(asked) || e.read(ctx) != asked {
		return true
	}
	return e.takeOver(ctx, asked) != asked
}

// isCurrent reports whether no other term is known.
func (e *granterElection) isCurrent(term granterTerm) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term
}

// mayGrant decides whether this gateway may grant what a gateway asks of it that knows the term. If not, it returns the term that names
// another one. While nobody can read the row, whoever is asked grants.
func (e *granterElection) mayGrant(ctx context.Context, asker granterTerm) (elsewhere *granterTerm) {
	e.mu.Lock()
	age := bootclock.Now() - e.readAt
	unknown := e.readAt == 0 || e.term.Address == "" || asker.isLaterThan(e.term)
	e.mu.Unlock()
	switch {
	case unknown || age > granterTrustTime:
		e.read(ctx)
	case age > granterVerifyInterval:
		go e.read(context.Background()) // ends after granterCallTimeout
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term.Address == "" || e.term.Address == e.self {
		return nil
	}
	term := e.term
	return &term
}

func (t granterTerm) isLaterThan(other granterTerm) bool {
	return t.Era > other.Era || t.Era == other.Era && t.Revision > other.Revision
}

// read reads the row and returns the term. It writes the row if there is none. Calls at the same time share one read, and soon after a
// read the term is returned as it is.
func (e *granterElection) read(ctx context.Context) granterTerm {
	e.mu.Lock()
	if reading := e.reading; reading != nil {
		e.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.term
	}
	if e.triedAt > 0 && bootclock.Now()-e.triedAt < granterReadBackoff {
		defer e.mu.Unlock()
		return e.term
	}
	e.triedAt = bootclock.Now()
	done := make(chan struct{})
	e.reading = done
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, granterCallTimeout)
	defer cancel()
	began := bootclock.Now()
	row, err := e.tables.Get(callCtx, granter.Table, granter.Key)
	term := termOf(row)
	if err == nil && term.Address == "" {
		term, err = e.write(callCtx, row)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reading = nil
	close(done)
	if err != nil {
		e.logger.Debug().Err(err).Msg("granter not read")
		return e.term
	}
	e.adopt(term, began)
	return e.term
}

// termOf returns the term that the row states.
func termOf(row platform.Row) granterTerm {
	record := granter.RecordOf(row)
	return granterTerm{Address: record.Address, Revision: row.Revision, Era: row.Era, WrittenMs: record.WrittenMs}
}

// write names this gateway in place of what the row held, and returns the term: another one if another gateway was first.
func (e *granterElection) write(ctx context.Context, row platform.Row) (granterTerm, error) {
	value, err := json.Marshal(granter.Record{Address: e.self, WrittenMs: row.ReadAt.Milliseconds()})
	if err != nil {
		return granterTerm{}, fault.Wrap(err, fault.Internal, "the granter cannot be encoded", "report this as a bug")
	}
	results, err := e.tables.Write(ctx, []platform.Write{{Table: granter.Table, Key: granter.Key, Value: value, IfRevision: row.Revision}})
	if err != nil {
		return granterTerm{}, err
	}
	return termOf(results[0].Row), nil
}

// adopt takes over the term. The caller holds e.mu.
func (e *granterElection) adopt(term granterTerm, readAt time.Duration) {
	if term != e.term {
		e.logger.Info().Str("granter", term.Address).Str("before", e.term.Address).Uint64("revision", uint64(term.Revision)).Msg("granter changed")
		e.silentSince, e.askedAt = 0, 0
	}
	if term.Address == e.self && e.term.Address != e.self {
		e.since = bootclock.Now()
	}
	e.term, e.readAt = term, readAt
}

// learn takes over a later term that the granter of an earlier one has told of.
func (e *granterElection) learn(term granterTerm) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term.isLaterThan(e.term) {
		e.adopt(term, e.readAt)
	}
}

// mayAsk reports whether the granter may be asked now.
func (e *granterElection) mayAsk() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.askedAt == 0 || bootclock.Now()-e.askedAt >= granterRetryDelay
}

// recordAnswer records whether the granter of the term has answered.
func (e *granterElection) recordAnswer(term granterTerm, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case term != e.term:
	case answered:
		e.silentSince, e.askedAt = 0, 0
	default:
		e.askedAt = bootclock.Now()
		if e.silentSince == 0 {
			e.silentSince = e.askedAt
		}
	}
}

// takeOver names this gateway as the granter if the one of the term has not answered for granterSilence. It returns the term that
// follows, which may name another gateway.
func (e *granterElection) takeOver(ctx context.Context, silent granterTerm) granterTerm {
	e.mu.Lock()
	due := e.term == silent && e.silentSince > 0 && bootclock.Now()-e.silentSince >= granterSilence
	e.mu.Unlock()
	if !due {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, granterCallTimeout)
	defer cancel()
	began := bootclock.Now()
	row, err := e.tables.Get(ctx, granter.Table, granter.Key)
	if err != nil {
		return silent
	}
	term := termOf(row)
	elapsed := row.ReadAt - time.Duration(term.WrittenMs)*time.Millisecond
	if isBefore := elapsed < 0; term == silent && (isBefore || elapsed >= minGranterTerm) { // the service was restored, and its clock with it
		if term, err = e.write(ctx, row); err != nil {
			return silent
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(term, began)
	return e.term
}
