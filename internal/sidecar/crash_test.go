package sidecar

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
	crashes := make(chan []brokenCall, 10)
	detector := &crashDetector{address: listener.Addr().String(), onCrash: func(broken []brokenCall) { crashes <- broken }}
	detector.record(brokenCall{request: "cut"})
	waitFor(t, "the first check", func() bool {
		detector.mu.Lock()
		defer detector.mu.Unlock()
		return !detector.checking
	})
	if len(crashes) != 0 {
		t.Error("a broken answer of an engine that accepts connections counts as a crash")
	}
	_ = listener.Close()
	detector.record(brokenCall{request: "begun", wroteFor: time.Millisecond})
	detector.record(brokenCall{request: "long", wroteFor: beginWindow})
	select {
	case broken := <-crashes:
		if len(broken) != 2 || !broken[0].justBegun() || broken[1].justBegun() {
			t.Errorf("the crash has the calls %+v, want one that was just begun and one that was not", broken)
		}
	case <-time.After(testTimeout):
		t.Fatal("a crash was not noticed")
	}
}
