// Package explain reconstructs the timeline of one request from the logs of several processes. It shows the log lines about
// the request in order, the state changes of the processes that handled it, and the likely causes of a failure.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"io/fs"
	"path"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Fields that the log lines of all processes have in common.
const (
	fieldTime    = "time"
	fieldHost    = "host"
	fieldMessage = "message"
	fieldRequest = "request"
	fieldLevel   = "level"
)

const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time // wall-clock time derived from the process's monotonic clock
	Host    string
	Message string
	Fields  map[string]any // the remaining fields
}

// stringField returns the value of a string field, "" if it is absent or not a string.
func (l Line) stringField(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// ReadLogs reads all logs in a folder and returns their lines in order of time. It skips text before a line's JSON object, such
// as a prefix added by a log collector, and lines without a JSON object. Errors are of kind NotFound.
func ReadLogs(folder fs.FS) ([]Line, error) {
	var lines []Line
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		file, err := folder.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		fileLines, err := readLog(file, path.Base(name))
		lines = append(lines, fileLines...)
		return err
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "the logs cannot be read", "name a folder that holds the processes' logs")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// readLog reads one log file, which may contain lines of several processes. A host's uptime that decreases marks a restart.
// Lines without a host are attributed to the file name.
func readLog(log io.Reader, name string) ([]Line, error) {
	incarnations := make(map[string]*incarnation)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		line, uptime, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		if line.Host == "" {
			line.Host = name
		}
		current := incarnations[line.Host]
		if current == nil || uptime < current.lastUptime {
			lines = append(lines, current.linesOnSteadyClock()...)
			current = &incarnation{}
			incarnations[line.Host] = current
		}
		current.add(line, uptime)
	}
	for _, current := range incarnations {
		lines = append(lines, current.linesOnSteadyClock()...)
	}
	return lines, scanner.Err()
}

func parseLine(raw []byte) (line Line, uptime time.Duration, ok bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return line, 0, false
	}
	if err := json.Unmarshal(raw[begin:], &line.Fields); err != nil {
		return line, 0, false // a foreign line, or one that was written incompletely
	}
	at, err := time.Parse(time.RFC3339Nano, line.stringField(fieldTime))
	if err != nil {
		return line, 0, false
	}
	ms, _ := line.Fields[telemetry.UptimeField].(float64) // 0 for processes that do not log their uptime
	line.Time, line.Host, line.Message = at, line.stringField(fieldHost), line.stringField(fieldMessage)
	for _, field := range []string{fieldTime, fieldHost, fieldMessage, fieldLevel, telemetry.UptimeField} {
		delete(line.Fields, field)
	}
	return line, time.Duration(ms) * time.Millisecond, true
}

// incarnation holds the log lines of one process between its start and its end.
type incarnation struct {
	lines      []Line
	uptimes    []time.Duration
	lastUptime time.Duration
}

func (p *incarnation) add(line Line, uptime time.Duration) {
	p.lines = append(p.lines, line)
	p.uptimes = append(p.uptimes, uptime)
	p.lastUptime = uptime
}

// linesOnSteadyClock returns the lines with times computed from the process start and the uptime of each line. The start is
// the median of the start times that the lines imply. A wall-clock step that is reverted or that comes late therefore does
// not shift the lines. Lines of a process that logs no uptime keep their wall-clock times.
func (p *incarnation) linesOnSteadyClock() []Line {
	if p == nil || p.lastUptime == 0 {
		if p == nil {
			return nil
		}
		return p.lines
	}
	startTimes := make([]time.Time, len(p.lines))
	for i, line := range p.lines {
		startTimes[i] = line.Time.Add(-p.uptimes[i])
	}
	slices.SortFunc(startTimes, time.Time.Compare)
	processStart := startTimes[len(startTimes)/2]
	for i := range p.lines {
		p.lines[i].Time = processStart.Add(p.uptimes[i])
	}
	return p.lines
}
