// Package explain tells the story of one request from the logs of several processes: every line about it, in order, and
// what the processes that handled it went through at the time.
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

// The fields that lines of all processes share.
const (
	fieldTime    = "time"
	fieldHost    = "host"
	fieldMessage = "message"
	fieldRequest = "request"
	fieldLevel   = "level"
)

const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time // by the process's steady clock, placed on the time of day
	Host    string
	Message string
	Fields  map[string]any // all others
}

// stringField returns a field that holds stringField, "" for none.
func (l Line) stringField(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Read reads all logs of a folder. Text before a line's object, as collectors of logs add, is skipped, and so are lines
// without an object.
func Read(folder fs.FS) ([]Line, error) {
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

// readLog reads one log, which may hold the lines of several processes.
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
		return line, 0, false // not a line of ours, or one that a process did not end
	}
	at, err := time.Parse(time.RFC3339Nano, line.stringField(fieldTime))
	if err != nil {
		return line, 0, false
	}
	ms, _ := line.Fields[telemetry.UptimeField].(float64) // absent in logs of processes without it
	line.Time, line.Host, line.Message = at, line.stringField(fieldHost), line.stringField(fieldMessage)
	for _, field := range []string{fieldTime, fieldHost, fieldMessage, fieldLevel, telemetry.UptimeField} {
		delete(line.Fields, field)
	}
	return line, time.Duration(ms) * time.Millisecond, true
}

// incarnation is what one process wrote from its start to its end.
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

// linesOnSteadyClock returns the lines with their times by the steady clock. It starts at the median of what the lines say, so that a
// step of the time of day that is taken back, or that comes late, moves no line.
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
