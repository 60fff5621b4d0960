//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The case of clients that read slowly while their gateway is stopped as planned.
const (
	readerGateways   = 2
	readerClients    = 6
	readerBody       = 220 << 10 // of an answer, in bytes
	readerReceiveBuf = 16 << 10
	readerPause      = 3500 * time.Millisecond // in which a client reads nothing
	readerStop       = 500 * time.Millisecond  // from the requests until SIGTERM
	readerDeadlineMs = 4000                    // of invoice-reissue on the sheet
	readerChunk      = 16 << 10
	lineBytes        = 2*sha256.Size + 1 // of the body
)

func playSlowReader(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.config = platformtest.Configuration{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "invoice", Kind: "unsafe", Service: "ledger-app", TimeoutMs: readerDeadlineMs, MaxAttempts: 1}},
		Services: []string{"ledger-app"},
		Keys:     []string{clientKey},
	}
	s.store.Configure(s.config)
	runner := platformtest.NewRunner("i-ledger-0")
	defer runner.Close()
	runner.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		r.line("runner runs %s", run.ID)
		runner.Reply(w, run, http.StatusOK, longBody(run.ID))
		r.line("runner has sent the whole answer to %s", run.ID)
	})
	s.store.Register(runner, "ledger-app", zone, "ready", "", 0)
	gateways, err := s.startGateways(readerGateways)
	if err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second) // of calm before the requests
	pause := time.Duration(0)
	if trouble {
		pause = readerPause
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]readerEnd)
	for i := range readerClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("slow.%d", i)
			r.line("client %s sends its request, and will read nothing for %v after the head of the answer", id, pause)
			sentAt := time.Now()
			err := readSlowly(gateways[0].front, id, pause)
			r.printf("client %s: ended after %.2f s: %v", id, time.Since(sentAt).Seconds(), err)
			mu.Lock()
			defer mu.Unlock()
			ends[id] = readerEnd{sentAt: sentAt, at: time.Now(), err: err}
		}()
	}
	time.Sleep(readerStop)
	stopped := time.Now()
	gateways[0].signal(syscall.SIGTERM)
	clients.Wait()
	select {
	case <-gateways[0].ended:
	case <-time.After(time.Until(stopped.Add(gracePeriod))):
		gateways[0].signal(syscall.SIGKILL)
	}
	return answersLost(r, runner, ends, stopped), nil
}

// readerEnd is how the exchange of a client ended.
type readerEnd struct {
	sentAt, at time.Time
	err        error
}

// answersLost checks LOST: a request was passed on to the runner, and its connection ended without a complete answer before its deadline
// and its route's timeout, between SIGTERM and 1 s after the grace period. The runner has sent all answers whole.
func answersLost(r *record, runner *platformtest.Runner, ends map[string]readerEnd, stopped time.Time) bool {
	lost, ran := 0, runner.Runs()
	for _, run := range ran {
		end, known := ends[run.ID]
		var cut *cutError
		if !known || !errors.As(end.err, &cut) {
			continue
		}
		if end.at.After(stopped) && end.at.Before(stopped.Add(planFor)) && end.at.Sub(end.sentAt) < readerDeadlineMs*time.Millisecond {
			lost++
		}
	}
	r.printf("%d requests ran, and %d of %d clients got no whole answer", len(ran), lost, readerClients)
	return lost > 0
}

// cutError reports that the connection ended before the answer was complete.
type cutError struct {
	read  int // bytes of the body
	cause error
}

// Error implements error.
func (e *cutError) Error() string {
	return fmt.Sprintf("the connection ended after %d of %d bytes: %v", e.read, readerBody/lineBytes*lineBytes, e.cause)
}

// longBody returns the body of the answer to the request.
func longBody(id string) string {
	return strings.Repeat(fmt.Sprintf("%x\n", sha256.Sum256([]byte(id))), readerBody/lineBytes)
}

var errOtherBody = errors.New("the body is not the runner's")

// readSlowly sends a request and reads the answer. After its head it reads nothing for the pause.
func readSlowly(at, id string, pause time.Duration) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerReceiveBuf)
		})
	}}
	conn, err := dialer.Dial("tcp", at)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(readerDeadlineMs * time.Millisecond)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "POST /invoice/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 5\r\n\r\nissue",
		platformtest.Host, id, readerDeadlineMs, clientKey)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, readerChunk), nil)
	if err != nil {
		return &cutError{cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	time.Sleep(pause)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return &cutError{read: len(body), cause: err}
	}
	if string(body) != longBody(id) {
		return errOtherBody
	}
	return nil
}
