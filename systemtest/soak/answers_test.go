package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	streamEvents      = 8
	eventInterval     = 15 * time.Millisecond
	maxProcessingTime = 15 * time.Millisecond
	fillerBytes       = 3000
)

// Shares of answers that are rejected, lost or truncated while back ends are faulty.
const (
	rejectedShare  = 0.2
	lostShare      = 0.1
	truncatedShare = 0.1
)

// unframedShare is the share of answers that end with their connection, at all times.
const unframedShare = 0.2

// answerBody returns the complete answer of a back end to a request.
func answerBody(id, instance string) string {
	return "answer to " + id + " by " + instance + strings.Repeat("."+id, fillerBytes/len(id))
}

// streamEvent returns one event of the answer to a request. The event is the same at every engine, because a stream can
// be resumed at another engine.
func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

// backendHandler returns the handler of a back end. It answers completely, except that it rejects, loses or
// truncates some answers while back ends are faulty.
func (s *system) backendHandler(b *backend) func(http.ResponseWriter, platformtest.Run) {
	return func(rw http.ResponseWriter, run platformtest.Run) {
		b.rates.add(run)
		b.waitForSilence()
		if b.holdsOff.Load() {
			b.withdrawals.addRefused(run)
			b.Reject(rw, run)
			return
		}
		draw := 1.0
		if s.backendsFaulty.Load() {
			draw = rand.Float64()
		}
		if draw < rejectedShare {
			b.Reject(rw, run)
			return
		}
		time.Sleep(rand.N(maxProcessingTime))
		if b.engine != nil && s.crashingPrompts.isCrashing(run) {
			s.crashEngine(b, rw, run)
		}
		if draw < rejectedShare+lostShare {
			b.breakOff(run, false)
			platformtest.AbortConnection()
		}
		if draw > 1-endlessShare && draw < 1 {
			b.breakOff(run, false)
			sendEndlessly(rw)
			return
		}
		if draw > 1-endlessShare-malformedShare && draw < 1 {
			b.breakOff(run, false)
			b.sendMalformed(rw, run)
			return
		}
		truncate := draw < rejectedShare+lostShare+truncatedShare
		if truncate {
			b.breakOff(run, b.engine != nil)
		}
		if b.engine != nil {
			b.sendStream(rw, run, truncate)
			return
		}
		b.sendBody(rw, run, truncate)
	}
}

func (b *backend) sendBody(rw http.ResponseWriter, run platformtest.Run, truncate bool) {
	body := answerBody(run.ID, b.ID)
	b.Sign(rw, run)
	if !truncate && rand.Float64() < unframedShare {
		platformtest.OmitFraming(rw)
	} else {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if truncate {
		sendAndReset(rw, body[:len(body)/2])
	}
	for part := range slices.Chunk([]byte(body), (len(body)+1)/2) {
		b.waitForSilence()
		_, _ = rw.Write(part) // fails only if the caller has disconnected
		rw.(http.Flusher).Flush()
	}
	b.waitForSilence()
}

func (b *backend) sendStream(rw http.ResponseWriter, run platformtest.Run, truncate bool) {
	from, _ := strconv.Atoi(run.ResumeAfter) // an empty or invalid id resumes from the start
	b.Sign(rw, run)
	rw.Header().Set("Content-Type", "text/event-stream")
	unframed := from < streamEvents && rand.Float64() < unframedShare // without events, that would look like a crash
	if unframed {
		platformtest.OmitFraming(rw)
	}
	for number := from + 1; number <= streamEvents; number++ {
		b.waitForSilence()
		event := streamEvent(run.ID, number)
		if truncate && number > streamEvents/2 {
			b.truncateStream(rw, event[:len(event)/2], unframed)
			return
		}
		if _, err := io.WriteString(rw, event); err != nil {
			return // the caller has disconnected
		}
		rw.(http.Flusher).Flush()
		time.Sleep(eventInterval)
	}
	b.waitForSilence()
}

// truncateStream ends the stream inside an event: unframed streams and half of the others in order, and the rest without the
// last chunk.
func (b *backend) truncateStream(rw http.ResponseWriter, part string, unframed bool) {
	if !unframed && rand.IntN(2) == 0 {
		sendAndReset(rw, part)
	}
	_, _ = io.WriteString(rw, part) // fails only if the caller has disconnected
}

// sendAndReset sends the text and then resets the connection.
func sendAndReset(rw http.ResponseWriter, text string) {
	_, _ = io.WriteString(rw, text) // fails only if the caller has disconnected
	rw.(http.Flusher).Flush()
	platformtest.AbortConnection()
}
