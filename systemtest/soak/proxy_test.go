package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass     mode = iota
	delayed       // each piece of data waits
	resetAll      // open connections are reset once, later ones pass
	silent        // open connections and those that are opened meanwhile carry nothing more, also afterwards
	oneWay        // as silent, but only what comes back is lost
	refused       // new connections are reset at once
	modes
)

var modeNames = [modes]string{"pass", "delayed", "reset", "silent", "one way", "refused"}

const (
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy forwards connections from one loopback address to another and disturbs them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	lost      [2]bool // what goes to the target, and what comes back, is dropped
}

func newProxy(t testing.TB, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.open(near)
	}
}

func (p *proxy) open(near net.Conn) {
	p.mu.Lock()
	refuse := p.mode == refused
	p.mu.Unlock()
	far, err := net.Dial("tcp", p.target)
	if refuse || err != nil {
		reset(near)
		if err == nil {
			far.Close()
		}
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	l.disturb(p.mode)
	p.links[l] = true
	p.mu.Unlock()
	go p.copy(l, far, near, 0)
	p.copy(l, near, far, 1)
}

// copy passes data on in one direction until an end closes.
func (p *proxy) copy(l *link, to, from net.Conn, direction int) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		lost, wait := l.lost[direction], p.mode == delayed
		p.mu.Unlock()
		if wait {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !lost {
			_, writeErr := to.Write(buffer[:n])
			err = errors.Join(err, writeErr)
		}
		if err != nil {
			p.end(l, lost, errors.Is(err, io.EOF))
			return
		}
	}
}

// end closes both sides. The far side of a lost direction hears nothing of it.
func (p *proxy) end(l *link, lost, whole bool) {
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	if lost {
		return
	}
	if !whole {
		reset(l.near)
		reset(l.far)
	}
	l.near.Close()
	l.far.Close()
}

func (l *link) disturb(m mode) {
	switch m {
	case silent:
		l.lost = [2]bool{true, true}
	case oneWay:
		l.lost[1] = true
	}
}

// set changes what the proxy does.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for l := range p.links {
		if m == resetAll {
			reset(l.near)
			reset(l.far)
		}
		l.disturb(m)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.near.Close()
		l.far.Close()
	}
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an end that has closed needs no reset
	}
	connection.Close()
}
