package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	streamEvents = 8
	eventGap     = 15 * time.Millisecond
	mostWork     = 15 * time.Millisecond
	fillerBytes  = 3000
)

// Shares of the answers of back ends while they misbehave.
const (
	shareRejected = 0.2
	shareLost     = 0.1
	shareCut      = 0.1
)

// bodyOf is the whole answer of a back end to a request.
func bodyOf(id, instance string) string {
	return "answer to " + id + " by " + instance + strings.Repeat("."+id, fillerBytes/len(id))
}

// eventOf is one event of the answer to a request. It is the same from each engine, since a stream may go on at another.
func eventOf(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

// answer is how a back end answers: in a moment and whole, unless back ends misbehave.
func (w *world) answer(b *backend) func(http.ResponseWriter, platformtest.Run) {
	return func(rw http.ResponseWriter, run platformtest.Run) {
		draw := 1.0
		if w.grey.Load() {
			draw = rand.Float64()
		}
		if draw < shareRejected {
			b.Reject(rw, run)
			return
		}
		time.Sleep(rand.N(mostWork))
		if draw < shareRejected+shareLost {
			platformtest.AbortConnection()
		}
		cut := draw < shareRejected+shareLost+shareCut
		if b.engine != nil {
			b.stream(rw, run, cut)
			return
		}
		b.whole(rw, run, cut)
	}
}

func (b *backend) whole(rw http.ResponseWriter, run platformtest.Run, cut bool) {
	body := bodyOf(run.ID, b.ID)
	b.Sign(rw, run)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		breakOff(rw, body[:len(body)/2])
	}
	_, _ = io.WriteString(rw, body) // a caller that has gone needs no answer
}

func (b *backend) stream(rw http.ResponseWriter, run platformtest.Run, cut bool) {
	from, _ := strconv.Atoi(run.ResumeAfter) // none means from the start
	b.Sign(rw, run)
	rw.Header().Set("Content-Type", "text/event-stream")
	for number := from + 1; number <= streamEvents; number++ {
		event := eventOf(run.ID, number)
		if cut && number > streamEvents/2 {
			breakOff(rw, event[:len(event)/2])
		}
		if _, err := io.WriteString(rw, event); err != nil {
			return // the caller has gone
		}
		rw.(http.Flusher).Flush()
		time.Sleep(eventGap)
	}
}

// breakOff sends the text and resets the connection.
func breakOff(rw http.ResponseWriter, text string) {
	_, _ = io.WriteString(rw, text) // a caller that has gone needs no answer
	rw.(http.Flusher).Flush()
	platformtest.AbortConnection()
}
