package quarantine

import (
	"net"
	"testing"
	"time"
)

func TestCrashIsToldFromABrokenAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	type crash struct {
		suspects []Suspect
		broken   int
	}
	crashes := make(chan crash, 10)
	detector := NewDetector(listener.Addr().String(), func(suspects []Suspect, broken int) { crashes <- crash{suspects, broken} })
	detector.Record(BrokenCall{Suspect: Suspect{Request: "cut"}})
	for deadline := time.Now().Add(testTimeout); detector.isChecking(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the first check")
		}
	}
	if len(crashes) != 0 {
		t.Error("a broken answer of an engine that accepts connections counts as a crash")
	}
	_ = listener.Close()
	detector.Record(BrokenCall{Suspect: Suspect{Request: "begun"}, WroteFor: time.Millisecond})
	detector.Record(BrokenCall{Suspect: Suspect{Request: "long"}, WroteFor: BeginWindow})
	select {
	case got := <-crashes:
		if got.broken != 2 || len(got.suspects) != 1 || got.suspects[0].Request != "begun" {
			t.Errorf("the crash is %+v, want two broken answers of which one was just begun", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("a crash was not noticed")
	}
}

func (d *Detector) isChecking() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.checking
}
