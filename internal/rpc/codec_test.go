package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

const answerTimeout = 10 * time.Second // bound on an answer

// endlessMessage returns the beginning of a message of the stated size.
func endlessMessage(size uint64, begin string) []byte {
	return append(binary.AppendUvarint(nil, size), begin...)
}

// sendUpTo writes the beginning and then blanks, up to the number of bytes in all.
func sendUpTo(conn net.Conn, begin []byte, bytesInAll int) {
	blanks := bytes.Repeat([]byte(" "), 64<<10)
	_, err := conn.Write(begin)
	for sent := 0; err == nil && sent < bytesInAll; sent += len(blanks) {
		_, err = conn.Write(blanks)
	}
}

// allocated returns how many bytes the function allocated.
func allocated(function func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	function()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A peer states a message of some gigabytes and sends what it takes for one.
func TestMessagesWithoutEndAreBounded(t *testing.T) {
	const endlessBytes, maxAllocated = 192 << 20, 4 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Serve(listener, map[string]Method{"echo": Handle(func(_ context.Context, text string) (string, error) { return text, nil })})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	echo := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
		defer cancel()
		var answer string
		if err := client.Call(ctx, listener.Addr().String(), "echo", "text", &answer); err != nil || answer != "text" {
			t.Errorf("answer %q, error %v", answer, err)
		}
	}
	begin := endlessMessage(1<<40, `{"jsonrpc":"2.0","id":0,"result":"`)

	endless, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer endless.Close()
	go func() {
		for {
			conn, err := endless.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				sendUpTo(conn, begin, endlessBytes)
			}()
		}
	}()
	grown := allocated(func() {
		ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
		defer cancel()
		if err := client.Call(ctx, endless.Addr().String(), "echo", "text", nil); err == nil {
			t.Error("a message without end is taken for an answer")
		}
	})
	if grown > maxAllocated {
		t.Errorf("client: %d MB were allocated", grown>>20)
	}
	echo()

	grown = allocated(func() {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		sendUpTo(conn, begin, endlessBytes)
	})
	if grown > maxAllocated {
		t.Errorf("server: %d MB were allocated", grown>>20)
	}
	echo()
}

func TestMessagesAreReadWhole(t *testing.T) {
	for _, size := range []int{2, maxInitialBytes, maxInitialBytes + 1, maxObjectBytes} {
		text := `"` + strings.Repeat("x", size-2) + `"`
		message := append(binary.AppendUvarint(nil, uint64(size)), text...)
		var got string
		if err := (objectCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(message)), &got); err != nil || len(got) != size-2 {
			t.Errorf("%d bytes: %d were read, %v", size, len(got), err)
		}
		if err := (objectCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(message[:len(message)-1])), &got); err != io.ErrUnexpectedEOF {
			t.Errorf("%d bytes without the last: %v", size, err)
		}
	}
	var got string
	if err := (objectCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(endlessMessage(maxObjectBytes+1, `"`))), &got); err != errObjectTooLarge {
		t.Errorf("a larger message: %v", err)
	}
}
