//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// cutProxy stands between a runner and all machines, and can cut the runner off. What is sent during a cut is held up and delivered by
// TCP's rules after it: at the first of the sender's retransmissions, whose intervals double.
type cutProxy struct {
	target string

	mu      sync.Mutex
	armed   bool
	healAt  time.Time // end of the cut; zero before
	cutFor  time.Duration
	onCut   func()
	cutFrom time.Time
}

const (
	firstRetransmission = 200 * time.Millisecond
	firstSYNRetry       = time.Second
)

func newCutProxy(s *system, address, target string) *cutProxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	p := &cutProxy{target: target}
	s.onClose = append(s.onClose, func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p
}

// cutAtOrder begins a cut of the given length as the next order to load passes.
func (p *cutProxy) cutAtOrder(length time.Duration, onCut func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.cutFor, p.onCut = true, length, onCut
}

// delivery returns when something sent now arrives, with the first retransmission after the given time.
func (p *cutProxy) delivery(first time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !now.Before(p.healAt) {
		return now
	}
	at := now
	for interval := first; at.Before(p.healAt); interval *= 2 {
		at = at.Add(interval)
	}
	return at
}

func (p *cutProxy) begin(data []byte) {
	p.mu.Lock()
	if !p.armed || !bytes.Contains(data, []byte("POST /order")) {
		p.mu.Unlock()
		return
	}
	p.armed, p.cutFrom = false, time.Now()
	p.healAt = p.cutFrom.Add(p.cutFor)
	onCut := p.onCut
	p.mu.Unlock()
	go onCut()
}

// segment is what was read at once, and when the network delivers it.
type segment struct {
	data []byte
	at   time.Time
	end  bool // the sender closed the connection in order
}

// serve forwards a connection. One whose sender gave up before its first packet could arrive never came about.
func (p *cutProxy) serve(client net.Conn) {
	defer client.Close()
	reset := make(chan struct{})
	fromClient, ended := p.read(client, reset, true)
	if established := p.delivery(firstSYNRetry); time.Now().Before(established) {
		select {
		case <-time.After(time.Until(established)):
		case <-ended:
			return
		case <-reset:
			return
		}
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	serverReset := make(chan struct{})
	fromServer, _ := p.read(server, serverReset, false)
	go forward(client, fromServer, serverReset)
	forward(server, fromClient, reset)
}

// read reads the connection to its end and sends what it gets with its time of delivery. It closes ended at an orderly end, and reset
// if the sender resets the connection.
func (p *cutProxy) read(from net.Conn, reset chan struct{}, toRunner bool) (segments chan segment, ended chan struct{}) {
	segments, ended = make(chan segment, 10_000), make(chan struct{})
	go func() {
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if n > 0 && toRunner {
				p.begin(buffer[:n])
			}
			if n > 0 {
				segments <- segment{data: buffer[:n], at: p.delivery(firstRetransmission)}
			}
			if err == io.EOF {
				segments <- segment{end: true, at: p.delivery(firstRetransmission)}
				close(ended)
				return
			}
			if err != nil {
				close(reset)
				return
			}
		}
	}()
	return segments, ended
}

// forward delivers the segments in order, each at its time. A reset discards what is not delivered yet.
func forward(to net.Conn, segments <-chan segment, reset <-chan struct{}) {
	for {
		var next segment
		select {
		case next = <-segments:
		case <-reset:
			discard(to)
			return
		}
		select {
		case <-time.After(time.Until(next.at)):
		case <-reset:
			discard(to)
			return
		}
		if next.end {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			return
		}
	}
}

func discard(to net.Conn) {
	_ = to.(*net.TCPConn).SetLinger(0)
	_ = to.Close()
}
