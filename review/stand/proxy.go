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

func (p *cutProxy) serve(client net.Conn) {
	defer client.Close()
	time.Sleep(time.Until(p.delivery(firstSYNRetry)))
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go p.copy(client, server, false)
	p.copy(server, client, true)
}

// copy forwards what arrives, when the network would deliver it. A reset discards what is held up.
func (p *cutProxy) copy(to, from net.Conn, toRunner bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if toRunner {
				p.begin(buffer[:n])
			}
			time.Sleep(time.Until(p.delivery(firstRetransmission)))
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
