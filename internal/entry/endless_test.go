package entry

import (
	"context"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// endless repeats a text, up to a number of bytes.
type endless struct {
	text string
	left int
}

func (e *endless) Read(buf []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(buf) {
		n += copy(buf[n:], e.text)
	}
	e.left -= n
	return n, nil
}

func TestFrameWithoutEndIsNotKept(t *testing.T) {
	for name, text := range map[string]string{"a text": "x", "blanks": " "} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := newFrameReader(io.MultiReader(strings.NewReader(`{"data":"`), &endless{text: text, left: 64 << 20})).next()
		runtime.ReadMemStats(&after)
		if !errors.Is(err, errFrameTooLong) {
			t.Errorf("%s: %v", name, err)
		}
		if grown := after.TotalAlloc - before.TotalAlloc; grown > 8*wire.MaxFrameBytes {
			t.Errorf("%s: %d MB were allocated", name, grown>>20)
		}
	}
}

// The bound is one of each frame.
func TestFramesOfALongAnswerAreRead(t *testing.T) {
	const count = 100
	frame := `{"kind":"data","attempt":"a","data":"` + strings.Repeat("QUFB", 20<<10) + "\"}\n"
	frames := newFrameReader(strings.NewReader(strings.Repeat(frame, count)))
	for i := range count {
		if got, err := frames.next(); err != nil || len(got.Data) != 60<<10 {
			t.Fatalf("frame %d: %d bytes, %v", i, len(got.Data), err)
		}
	}
	if _, err := frames.next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last: %v", err)
	}
}

// Answers without end must not use up the memory, nor the room of others.
func TestBufferedAnswersAreBoundedTogether(t *testing.T) {
	const answers, limit = 20, 4 << 20
	buffer := budget.New(limit)
	part := make([]byte, 16<<10)
	fill := func() *answer {
		a := newAnswer(buffer)
		a.setHead(200, "application/json")
		for stored := 0; a.write(context.Background(), part); stored += len(part) {
			if stored > 2*limit {
				t.Fatal("an answer without end is stored")
			}
		}
		return a
	}
	var full []*answer
	for range answers {
		full = append(full, fill())
	}
	if held := buffer.Held(); held > limit {
		t.Errorf("%d bytes are held", held)
	}
	small := newAnswer(buffer)
	small.setHead(200, "application/json")
	if !small.write(context.Background(), make([]byte, freeAnswerBytes)) {
		t.Error("a small answer beside them is not stored")
	}
	for _, a := range append(full, small) {
		a.release()
	}
	if held := buffer.Held(); held != 0 {
		t.Errorf("%d bytes are held after the answers", held)
	}
}
