package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// brokenWriter fails like the connection of a caller that has disconnected.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestStreamWithoutReaderDoesNotBlock(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, test := range []struct {
		name string
		stop func(*answer, context.CancelFunc)
	}{
		{"caller disconnected", func(a *answer, _ context.CancelFunc) { a.writeStream(bufio.NewWriter(brokenWriter{})) }},
		{"deadline passed", func(_ *answer, cancel context.CancelFunc) { cancel() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := newAnswer(nil)
			a.setHead(200, "text/event-stream")
			written := make(chan struct{})
			go func() {
				for range 2 * chunkQueueLength {
					a.write(ctx, []byte("data: x\n\n"))
				}
				close(written)
			}()
			test.stop(a, cancel)
			<-written
		})
	}
}

func TestFailedStreamHasNoEndMarker(t *testing.T) {
	a := newAnswer(nil)
	a.setHead(200, "text/event-stream")
	a.write(context.Background(), []byte("data: x\n\n"))
	a.finish(fault.Unknown, fault.New(fault.LostOutcome, "lost", "check"))
	var out bytes.Buffer
	a.writeStream(bufio.NewWriter(&out))
	if text := out.String(); strings.Contains(text, "[DONE]") || !strings.Contains(text, `data: {"error":{"kind":"outcome_unknown"`) {
		t.Errorf("the caller read %q, want an error event and no end marker", text)
	}
}

func TestNewHeadDiscardsTheBufferedBody(t *testing.T) {
	a := newAnswer(nil)
	a.setHead(200, "text/plain")
	a.write(context.Background(), []byte("half"))
	a.setHead(201, "text/plain")
	a.write(context.Background(), []byte("whole"))
	if string(a.body) != "whole" || a.status != 201 {
		t.Errorf("status %d, body %q; want 201 and the second body", a.status, a.body)
	}
}
