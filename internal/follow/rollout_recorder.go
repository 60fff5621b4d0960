package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

// tableRollouts has one row for each model, which records when its versions were requested.
const tableRollouts = "rollouts"

const (
	// recordReadTimeout bounds the delay of a process's first configuration by the record. A slow store takes some hundred
	// milliseconds.
	recordReadTimeout = 400 * time.Millisecond
	recordTimeout     = 2 * time.Second // of one call that delays nothing
	// maxRecordDelay is the longest delay of a process's first write of a new version, so that usually only one process writes.
	maxRecordDelay       = 100 * time.Millisecond
	minRecordBackoff     = 250 * time.Millisecond
	maxRecordBackoff     = 4 * time.Second
	unknownRetryInterval = time.Second
	// maxUnknownRetries is how often the record is read again for a version of unknown age. A process that knows more writes it
	// within a second.
	maxUnknownRetries = 5
)

// RolloutRecorder is a Source that adds when operators requested each model version. The operators' table does not tell, so
// what this process observes is recorded in a table of the product's own, for processes that start later. Times are on the
// store's clock. It is safe for concurrent use.
type RolloutRecorder struct {
	Source
	tables   platform.Tables
	logger   *log.Logger
	follower *Follower // of this process; nil if there is none

	mu       sync.Mutex
	era      uint64 // of the store that the times belong to
	rollouts map[core.Model]catalog.Rollouts
	recorded map[core.Model]record
	covered  Cursor        // the newest versions up to this position are known; it may be of the era before
	asOf     time.Duration // of the last read up to covered: later versions were requested after it
	last     storeRead     // the last read
	working  bool          // a task synchronizes the record
}

// record is what is known of a model's row.
type record struct {
	read           bool // the row was read or written in this era
	rollouts       catalog.Rollouts
	unknownRetries int
}

// storeRead is a read of the operators' table: when it was sent and received on the boot clock, and the store's time in between.
type storeRead struct {
	sent, received, storeTime time.Duration
	cursor                    Cursor // later versions were requested after the read; not valid if that is uncertain
}

// recordedRollouts is the content of a row.
type recordedRollouts struct {
	Era      uint64            `json:"era"` // of the store whose clock the times are on
	Versions []recordedRollout `json:"versions"`
}

type recordedRollout struct {
	Version    int64 `json:"version"`
	EarliestMs int64 `json:"earliest_ms,omitempty"` // earliest possible time of the request; 0 if unknown
	SeenMs     int64 `json:"seen_ms"`               // when a process had read it
}

// NewRolloutRecorder returns a source that reads the operators' table from source and records requests in tables.
func NewRolloutRecorder(source Source, tables platform.Tables, logger *log.Logger) *RolloutRecorder {
	return &RolloutRecorder{Source: source, tables: tables, logger: logger, rollouts: make(map[core.Model]catalog.Rollouts), recorded: make(map[core.Model]record)}
}

// SetFollower sets the follower that uses this source. What it has learnt from delegates is used for versions that this source is the
// first to read. It must be called before the first read.
func (r *RolloutRecorder) SetFollower(f *Follower) { r.follower = f }

// Operator implements Source. A record that cannot be read delays the changes by at most recordReadTimeout for each model; the
// versions that it may hold count as requested long ago until it is read.
func (r *RolloutRecorder) Operator(ctx context.Context, since Cursor, wait time.Duration) (OperatorChanges, error) {
	sent := bootclock.Now()
	changes, err := r.Source.Operator(ctx, since, wait)
	if err != nil || changes.StoreTime == 0 {
		return changes, err
	}
	read := storeRead{sent: sent, received: bootclock.Now(), storeTime: changes.StoreTime}
	for _, model := range r.observe(read, since, wait, changes) {
		readCtx, cancel := context.WithTimeout(ctx, recordReadTimeout)
		if _, err := r.readRecord(readCtx, model); err != nil {
			r.logger.Warn().Err(err).Str("model", string(model)).Msg("record of requested versions not read yet")
		}
		cancel()
	}
	r.startSynchronizing(ctx)
	changes.Rollouts = r.ages(changes.StoreTime)
	return changes, nil
}

// observe takes over the versions of a read, and returns the models with a version of unknown age whose record was not read.
func (r *RolloutRecorder) observe(read storeRead, since Cursor, wait time.Duration, changes OperatorChanges) (unknown []core.Model) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if eraRose(r.era, changes.Cursor.Era) {
		r.convert(read)
	}
	r.era = max(r.era, changes.Cursor.Era)
	if changes.Cursor.Era != r.era {
		return nil // sent before the store was restored
	}
	earliest := r.earliest(read, since, wait, changes)
	for model, version := range changes.Wanted {
		if _, found := r.rollouts[model].Find(version); found {
			continue
		}
		rollout := catalog.Rollout{Version: version, RequestedAt: earliest, SeenAt: read.storeTime, Source: catalog.RolloutOwnRead}
		rollout.RequestedAt = max(rollout.RequestedAt, r.earliestByCoverage(model, version), r.earliestByView(read, model, version))
		if !rollout.IsKnown() {
			rollout.Source = catalog.RolloutUnknown
		}
		r.rollouts[model] = r.rollouts[model].With(rollout)
		if !rollout.IsKnown() && !r.recorded[model].read {
			unknown = append(unknown, model)
		}
	}
	continues := !since.Valid || r.covered.Valid && !isLater(since, r.covered)
	if continues && !isLater(r.covered, changes.Cursor) {
		asOf := read.storeTime - maxFeedDelay
		if r.covered.Valid {
			asOf = max(asOf, r.asOf)
		}
		r.covered, r.asOf = changes.Cursor, asOf
	}
	if read.received > r.last.received {
		if !isLater(since, changes.Cursor) {
			read.cursor = changes.Cursor
		}
		r.last = read
	}
	return unknown
}

// ages returns the requested versions with their ages at the store's time.
func (r *RolloutRecorder) ages(storeTime time.Duration) map[core.Model][]RolloutAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	ages := make(map[core.Model][]RolloutAge, len(r.rollouts))
	for model, rollouts := range r.rollouts {
		ages[model] = rolloutAges(rollouts, storeTime)
	}
	return ages
}

// readRecord merges the model's row into what is known, and returns it.
func (r *RolloutRecorder) readRecord(ctx context.Context, model core.Model) (platform.Row, error) {
	row, err := r.tables.Get(ctx, tableRollouts, string(model))
	if err != nil {
		return row, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if row.Era != r.era {
		return row, fault.New(fault.Conflict, "the record of requested versions is of another era of the store", "it is read again after the operators' table")
	}
	rollouts, err := decodeRollouts(row, r.era)
	if err != nil {
		r.logger.Error().Err(err).Str("model", string(model)).Msg("record of requested versions is written anew")
	}
	for _, rollout := range rollouts {
		r.rollouts[model] = r.rollouts[model].With(rollout)
	}
	r.recorded[model] = record{read: true, rollouts: rollouts, unknownRetries: r.recorded[model].unknownRetries}
	return row, nil
}

// decodeRollouts returns the versions of the row. Times of another era are unknown. It returns fault.Corrupted if the row cannot be
// decoded.
func decodeRollouts(row platform.Row, era uint64) (catalog.Rollouts, error) {
	if row.Revision == 0 {
		return nil, nil
	}
	var document recordedRollouts
	if err := json.Unmarshal(row.Value, &document); err != nil {
		return nil, fault.Wrap(err, fault.Corrupted, "the record of requested versions cannot be decoded", "none needed; its versions count as requested long ago")
	}
	var rollouts catalog.Rollouts
	for _, version := range document.Versions {
		rollout := catalog.Rollout{Version: version.Version, RequestedAt: -catalog.UnknownAge, SeenAt: row.ReadAt, Source: catalog.RolloutUnknown}
		if document.Era == era {
			rollout.SeenAt = time.Duration(version.SeenMs) * time.Millisecond
		}
		if document.Era == era && version.EarliestMs > 0 {
			rollout.RequestedAt, rollout.Source = time.Duration(version.EarliestMs)*time.Millisecond, catalog.RolloutRecord
		}
		rollouts = rollouts.With(rollout)
	}
	return rollouts, nil
}

// encodeRollouts returns the value of a row.
func encodeRollouts(rollouts catalog.Rollouts, era uint64) ([]byte, error) {
	document := recordedRollouts{Era: era}
	for _, rollout := range rollouts {
		version := recordedRollout{Version: rollout.Version, SeenMs: rollout.SeenAt.Milliseconds()}
		if rollout.IsKnown() {
			version.EarliestMs = max(0, rollout.RequestedAt.Milliseconds())
		}
		document.Versions = append(document.Versions, version)
	}
	value, err := json.Marshal(document)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the record of requested versions cannot be encoded", "report this as a bug")
	}
	return value, nil
}

// lacks reports whether the record lacks something that is known: a version, its time, or that a process had read it before the
// time in the record.
func (c record) lacks(known catalog.Rollouts) bool {
	if !c.read {
		return len(known) > 0
	}
	for _, rollout := range known {
		inRecord, found := c.rollouts.Find(rollout.Version)
		if !found || rollout.IsKnown() && !inRecord.IsKnown() || inRecord.RequestedAt > rollout.SeenAt {
			return true
		}
	}
	return false
}

// startSynchronizing starts a task that brings the record and this process's knowledge together, unless one runs.
func (r *RolloutRecorder) startSynchronizing(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.working && len(r.unsettled()) > 0 {
		r.working = true
		go r.synchronize(ctx)
	}
}

// unsettled returns the models whose record lacks something or may tell more. The caller must hold r.mu.
func (r *RolloutRecorder) unsettled() (models []core.Model) {
	for model, rollouts := range r.rollouts {
		newest, _ := rollouts.Find(rollouts.Newest())
		retry := !newest.IsKnown() && r.recorded[model].unknownRetries < maxUnknownRetries
		if retry || r.recorded[model].lacks(rollouts) {
			models = append(models, model)
		}
	}
	return models
}

// synchronize reads and writes records until all are settled or the context ends.
func (r *RolloutRecorder) synchronize(ctx context.Context) {
	sleepFor(ctx, rand.N(maxRecordDelay))
	backoff := minRecordBackoff
	for {
		r.mu.Lock()
		models := r.unsettled()
		if r.working = len(models) > 0 && ctx.Err() == nil; !r.working {
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		delay := unknownRetryInterval
		for _, model := range models {
			if err := r.update(ctx, model); err != nil {
				r.logger.Warn().Err(err).Str("model", string(model)).Dur("retry_after", backoff).Msg("requested versions not recorded yet")
				delay, backoff = backoff, min(2*backoff, maxRecordBackoff)
			}
		}
		r.mu.Lock()
		settled := len(r.unsettled()) == 0
		r.mu.Unlock()
		if !settled {
			sleepFor(ctx, delay)
		}
	}
}

// update reads the model's record and writes it if it lacks something. A write takes effect only on the row that was merged before, so
// one that the store performs late drops nothing.
func (r *RolloutRecorder) update(ctx context.Context, model core.Model) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	row, err := r.readRecord(ctx, model)
	if err != nil {
		return err
	}
	r.mu.Lock()
	known, inRecord, era := r.rollouts[model], r.recorded[model], r.era
	inRecord.unknownRetries++
	r.recorded[model] = inRecord
	r.mu.Unlock()
	if !inRecord.lacks(known) {
		return nil
	}
	value, err := encodeRollouts(known, era)
	if err != nil {
		return err
	}
	results, err := r.tables.Write(ctx, []platform.Write{{Table: tableRollouts, Key: string(model), Value: value, IfRevision: row.Revision}})
	if err != nil {
		return err
	}
	if !results[0].Written {
		return fault.New(fault.Conflict, "another process has written the record of requested versions", "it is read again and merged")
	}
	r.mu.Lock()
	inRecord.rollouts = known
	if r.era == era {
		r.recorded[model] = inRecord
	}
	r.mu.Unlock()
	newest, _ := known.Find(known.Newest())
	r.logger.Info().Str("model", string(model)).Int64("version", newest.Version).Str("source", string(newest.Source)).Int("versions", len(known)).Int("bytes", len(value)).Msg("requested versions recorded")
	return nil
}

// sleepFor sleeps until the duration has passed or ctx ends.
func sleepFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
