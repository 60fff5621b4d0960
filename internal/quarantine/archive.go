package quarantine

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Table and key of the row that holds the archive.
const (
	tableArchive = "quarantine"
	keyArchive   = "crashes"
)

const (
	// archiveDelay gathers the reports of one crash before they are written.
	archiveDelay = 100 * time.Millisecond
	// archiveRankDelay is added for each delegate that writes before this one, so that usually only the first writes.
	archiveRankDelay = 2 * time.Second
	// rankCheckInterval is the time between two checks whether a process that does not archive has to from now on.
	rankCheckInterval = 2 * time.Second
	// maxArchivers is the number of delegates that write. The others only read when they start.
	maxArchivers      = 3
	archiveTimeout    = 2 * time.Second // of one call; a slow store takes some hundred milliseconds
	maxArchiveBackoff = 16 * time.Second
	// maxRestoreBackoff is short: until the archive is read, requests that are quarantined reach endpoints.
	maxRestoreBackoff = time.Second
	// maxArchiveBytes is below the least row size of the platform's store, 64 KiB, in its encoded form.
	maxArchiveBytes = 48 << 10
)

// archivedReport is the content of the archive's row.
type archivedReport struct {
	WrittenMs int64 `json:"written_ms"` // on the table service's clock; the ages are as of then
	Report
}

// Archive keeps crashes that accuse a part of prompts or a repeated request in a table of the platform, for processes that start after
// all that knew of them have ended.
type Archive struct {
	ledger *Ledger
	tables platform.Tables
	rank   func() int
	logger *log.Logger
	known  string // names of the crashes that the row held when it was last read or written
}

// NoRank is the rank of a process that does not archive.
const NoRank = math.MaxInt

// NewArchive returns an archive of the ledger of a process with the rank among those that archive, from 0. The rank may change.
func NewArchive(ledger *Ledger, tables platform.Tables, rank func() int, logger *log.Logger) *Archive {
	return &Archive{ledger: ledger, tables: tables, rank: rank, logger: logger}
}

// Run restores the ledger from the archive if this process has a rank, then archives its changes until the context ends. A process that
// gets a rank later reads the archive before it writes.
func (a *Archive) Run(ctx context.Context) {
	if a.rank() != NoRank {
		a.retry(ctx, maxRestoreBackoff, a.restore)
	}
	for version := uint64(0); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-a.ledger.waitForChange(version):
		}
		rank := a.rank()
		if rank >= maxArchivers {
			sleep(ctx, rankCheckInterval)
			continue
		}
		report, current := a.ledger.accusing()
		version = current
		if report.names() == a.known {
			continue
		}
		sleep(ctx, archiveDelay+time.Duration(rank)*archiveRankDelay)
		report, version = a.ledger.accusing()
		if report.names() == a.known {
			continue // answers have cleared it meanwhile
		}
		a.retry(ctx, maxArchiveBackoff, a.synchronize)
	}
}

// retry repeats the step until it succeeds, at intervals that grow up to maxBackoff, or the context ends.
func (a *Archive) retry(ctx context.Context, maxBackoff time.Duration, step func(context.Context) error) {
	for backoff := retryInterval; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		err := step(ctx)
		if err == nil {
			return
		}
		telemetry.CrashesArchived("failed")
		a.logger.Warn().Err(err).Dur("retry_after", backoff).Msg("archive of crashes not reached")
		sleep(ctx, backoff)
	}
}

func (a *Archive) restore(ctx context.Context) error {
	_, err := a.read(ctx)
	return err
}

// read merges the archive into the ledger and returns its row.
func (a *Archive) read(ctx context.Context) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	row, err := a.tables.Get(ctx, tableArchive, keyArchive)
	if err != nil || row.Revision == 0 {
		return row, err
	}
	var archived archivedReport
	if err := json.Unmarshal(row.Value, &archived); err != nil {
		a.logger.Error().Err(err).Msg("archive of crashes cannot be decoded and is written anew")
		return row, nil
	}
	a.known = archived.names()
	// A service restored from a copy may have an earlier clock.
	elapsed := max(0, row.ReadAt.Milliseconds()-archived.WrittenMs)
	for i := range archived.Crashes {
		archived.Crashes[i].AgeMs += elapsed
	}
	if a.ledger.merge(archived.Report) {
		telemetry.CrashesArchived("restored")
		a.logger.Info().Int("crashes", len(archived.Crashes)).Msg("crashes restored from the archive")
	}
	return row, nil
}

// synchronize merges the archive into the ledger, and writes the ledger's crashes if the archive differs.
func (a *Archive) synchronize(ctx context.Context) error {
	row, err := a.read(ctx)
	if err != nil {
		return err
	}
	report, _ := a.ledger.accusing()
	if row.Revision > 0 && report.names() == a.known || row.Revision == 0 && len(report.Crashes) == 0 {
		return nil
	}
	value, names, err := encodeArchive(report, row.ReadAt)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	results, err := a.tables.Write(ctx, []platform.Write{{Table: tableArchive, Key: keyArchive, Value: value, IfRevision: row.Revision}})
	if err != nil {
		return err
	}
	if !results[0].Written {
		return fault.New(fault.Conflict, "another process has written the archive of crashes", "it is read again and merged")
	}
	a.known = names
	telemetry.CrashesArchived("written")
	a.logger.Info().Int("crashes", len(report.Crashes)).Int("bytes", len(value)).Msg("crashes archived")
	return nil
}

// encodeArchive returns the row's value as of the service's time and the names of the report. The oldest crashes are left out of
// the value if it would be too large.
func encodeArchive(report Report, at time.Duration) (value []byte, names string, err error) {
	names = report.names()
	slices.SortFunc(report.Crashes, func(a, b AgedCrash) int { return int(a.AgeMs - b.AgeMs) })
	for {
		value, err = json.Marshal(archivedReport{WrittenMs: at.Milliseconds(), Report: report})
		if err != nil {
			return nil, "", fault.Wrap(err, fault.Internal, "the archive of crashes cannot be encoded", "report this as a bug")
		}
		if len(value) <= maxArchiveBytes || len(report.Crashes) == 0 {
			return value, names, nil
		}
		report.Crashes = report.Crashes[:len(report.Crashes)-1]
	}
}

// names returns the ids of the report's crashes and what is cleared of each, in a fixed order.
func (r Report) names() string {
	var names []string
	for _, crash := range r.Crashes {
		cleared := PartNames(crash.Cleared)
		slices.Sort(cleared)
		names = append(names, string(crash.ID)+" "+strings.Join(cleared, ","))
	}
	slices.Sort(names)
	return strings.Join(names, "\n")
}
