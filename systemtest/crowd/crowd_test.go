package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/systemtest/programs"
)

const (
	manyClients  = 600 // more connections than a process may have descriptors
	headClients  = 380 // with a head each
	bodyClients  = 40  // with a body of the configured limit each
	tinyClients  = 100 // with a body in very small chunks each
	tinyBytes    = 1_000_000
	wholeRepeats = 20 // requests of one connection
)

func TestCrowdOfShortHeaderLines(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("safe", "x", fmt.Sprint("h", number), legalHeadBytes, shortLine, length(100))+emptyEnd+"stops short")
		})
	})
}

func TestCrowdOfWholeRequestsWithOddNames(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			go readAnswers(conn)
			for i := range wholeRepeats {
				if !programs.Write(conn, requestHead("model", "x", fmt.Sprint("w", number, "-", i), legalHeadBytes, oddName, length(4))+emptyEnd+"body") {
					return
				}
			}
		})
	})
}

func TestCrowdOfHeadsOverTheLimit(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("safe", "x", fmt.Sprint("o", number), oddHeadBytes, shortLine, length(0))+emptyEnd)
		})
	})
}

func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			block := strings.Repeat("a: b\r\n", 1000)
			for ok := programs.Write(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"); ok; ok = programs.Write(conn, block) {
			}
		})
	})
}

func TestCrowdOfEmptyLinesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, _ int) {
			block := strings.Repeat("\r\n", 1000)
			for sent := 0; sent < 1000 && programs.Write(conn, block); sent++ {
			}
		})
	})
}

func TestCrowdOfChunkedBodiesThatStopShort(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, bodyClients, func(conn net.Conn, number int) {
			body := fmt.Sprintf("%x\r\n%s\r\n", limits.BodyBytes-1, strings.Repeat("b", limits.BodyBytes-1))
			programs.Write(conn, requestHead("safe", "x", fmt.Sprint("c", number), 0, noLine, chunked)+emptyEnd+body)
		})
	})
}

// Room must be taken for what arrives and not for what is stated.
func TestCrowdOfStatedLengthsThatNeverCome(t *testing.T) {
	for _, at := range []string{"gateway", "sidecar"} {
		t.Run(at, func(t *testing.T) {
			s := newSystem(t)
			address, route := s.front, "safe"
			if at == "sidecar" {
				address, route = s.relay, "model"
			}
			s.requireWithinBounds(func() {
				programs.SendCrowd(address, headClients, func(conn net.Conn, number int) {
					programs.Write(conn, requestHead(route, "x", fmt.Sprint("n", number), 0, noLine, length(limits.BodyBytes))+emptyEnd+"b")
				})
			})
		})
	}
}

func TestCrowdOfBodiesInChunksOfOneByte(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		block := strings.Repeat("1\r\nb\r\n", 10_000)
		programs.SendCrowd(s.front, tinyClients, func(conn net.Conn, number int) {
			ok := programs.Write(conn, requestHead("safe", "x", fmt.Sprint("t", number), 0, noLine, chunked)+emptyEnd)
			for sent := 0; ok && sent < tinyBytes; sent += 10_000 {
				ok = programs.Write(conn, block)
			}
		})
	})
}

func TestCrowdOfWholeBodiesToEngines(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		body := strings.Repeat("b", limits.BodyBytes)
		programs.SendCrowd(s.front, bodyClients, func(conn net.Conn, number int) {
			go readAnswers(conn)
			programs.Write(conn, requestHead("model", "x", fmt.Sprint("e", number), 0, noLine, length(len(body)))+emptyEnd+body)
		})
	})
}

// What many gateways send together reaches the sidecar without the limits of one.
func TestCrowdOfBodiesAtASidecar(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.relay, bodyClients, func(conn net.Conn, number int) {
			body := fmt.Sprintf("%x\r\n%s\r\n", limits.BodyBytes-1, strings.Repeat("b", limits.BodyBytes-1))
			programs.Write(conn, requestHead("model", "x", fmt.Sprint("s", number), 0, noLine, chunked)+emptyEnd+body)
		})
	})
}

func TestCrowdOfShortHeaderLinesAtASidecar(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.relay, headClients, func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("model", "x", fmt.Sprint("l", number), legalHeadBytes, shortLine, length(100))+emptyEnd+"stops short")
		})
	})
}

func TestCrowdOfConnectionsWithAFirstLineOnly(t *testing.T) {
	for _, at := range []string{"gateway", "sidecar"} {
		t.Run(at, func(t *testing.T) {
			s := newSystem(t)
			address := s.front
			if at == "sidecar" {
				address = s.relay
			}
			s.requireWithinBounds(func() {
				programs.SendCrowd(address, manyClients, func(conn net.Conn, _ int) { programs.Write(conn, "POST /safe/x HTTP/1.1\r\n") })
			})
		})
	}
}

func TestCrowdOfUnreadAnswers(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			for i := range wholeRepeats {
				if !programs.Write(conn, requestHead("safe", "long", fmt.Sprint("u", number, "-", i), 0, noLine, length(4))+emptyEnd+"body") {
					return
				}
			}
		})
	})
}

// With descriptors for as many callers as that, only memory bounds the answers that they leave unread.
func TestCrowdOfUnreadAnswersWithManyDescriptors(t *testing.T) {
	s := newSystemWith(t, settings.Resources{MemoryMB: memoryMB, MaxDescriptors: 5 * manyClients})
	s.requireWithinBounds(func() {
		programs.SendCrowd(s.front, manyClients, func(conn net.Conn, number int) {
			for i := range wholeRepeats {
				if !programs.Write(conn, requestHead("safe", "long", fmt.Sprint("m", number, "-", i), 0, noLine, length(4))+emptyEnd+"body") {
					return
				}
			}
		})
	})
}

// Callers with ordinary requests are served while the crowd is there, if need be on a further try.
func TestCrowdsBesideOrdinaryRequests(t *testing.T) {
	body := fmt.Sprintf("%x\r\n%s\r\n", limits.BodyBytes-1, strings.Repeat("b", limits.BodyBytes-1))
	for name, send := range map[string]func(conn net.Conn, number int){
		"first lines": func(conn net.Conn, _ int) { programs.Write(conn, "POST /safe/x HTTP/1.1\r\n") },
		"bodies that stop short": func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("safe", "x", fmt.Sprint("b", number), 0, noLine, chunked)+emptyEnd+body)
		},
		"short lines": func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("safe", "x", fmt.Sprint("l", number), legalHeadBytes, shortLine, length(100))+emptyEnd)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.requireWithinBounds(func() {
				programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
					send(conn, number)
					if number == 0 {
						s.requireAnswers()
					}
				})
			})
		})
	}
}

// The head of a refused request costs as much as that of one that is served, and its body is read after the answer.
func TestCrowdOfRefusedRequests(t *testing.T) {
	s := newSystem(t)
	s.requireWithinBounds(func() {
		body := strings.Repeat("b", limits.BodyBytes-1)
		programs.SendCrowd(s.front, headClients, func(conn net.Conn, number int) {
			programs.Write(conn, requestHead("unknown", "x", fmt.Sprint("r", number), legalHeadBytes, shortLine, length(limits.BodyBytes))+emptyEnd+body)
		})
	})
}

// A request inside the limits is served in calm, whatever the form of its head and body.
func TestCrowdOfOneWithinTheLimitsIsServed(t *testing.T) {
	s := newSystem(t)
	body := strings.Repeat("b", limits.BodyBytes)
	for _, route := range []string{"safe", "once", "model"} {
		for name, line := range map[string]func(int) string{"short": shortLine, "odd": oddName, "long": func(int) string { return "Long: " + strings.Repeat("v", 2000) }} {
			for framing, sent := range map[string]string{length(len(body)): body, chunked: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)} {
				if status := s.sendWhole(requestHead(route, "x", "calm-"+route, legalHeadBytes, line, framing) + emptyEnd + sent); status != http.StatusOK {
					t.Errorf("%s, %s lines, %q: status %d", route, name, framing, status)
				}
			}
		}
	}
}

// sendWhole sends the request on a new connection and returns the status of the answer; 0 without one.
func (s *system) sendWhole(request string) int {
	conn, err := net.DialTimeout("tcp", s.front, programs.CrowdTimeout)
	if err != nil {
		return 0
	}
	defer conn.Close()
	go func() { programs.Write(conn, request) }()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// Requests that never arrive whole must not hold up a planned stop until the grace period is over.
func TestCrowdOfBodiesThatStopShortInAPlannedStop(t *testing.T) {
	for _, at := range []string{"gateway", "sidecar"} {
		t.Run(at, func(t *testing.T) {
			s := newSystem(t)
			address, stopped, route := s.front, s.gateway, "safe"
			if at == "sidecar" {
				address, stopped, route = s.relay, s.sidecar, "model"
			}
			programs.SendCrowd(address, bodyClients, func(conn net.Conn, number int) {
				programs.Write(conn, requestHead(route, "x", fmt.Sprint("p", number), 0, noLine, length(100))+emptyEnd+"stops short")
				if number == 0 {
					_ = stopped.command.Process.Signal(syscall.SIGTERM) // fails only if it has ended
					<-stopped.done
				}
			})
			if !stopped.command.ProcessState.Success() || strings.Contains(s.log(stopped), "grace period expired") {
				t.Errorf("%s ends with %v after the whole grace period", stopped.name, stopped.command.ProcessState)
			}
		})
	}
}
