package programs

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// CrowdTimeout bounds how long a client of a crowd tries to connect and to send.
	CrowdTimeout = 8 * time.Second
	lingerTime   = time.Second // for which a crowd stays after it has sent
)

// SendCrowd opens the number of connections at once, lets each client send, and closes them all after that. A client's errors are
// its own affair: it may be refused.
func SendCrowd(address string, clients int, send func(conn net.Conn, number int)) {
	var sending sync.WaitGroup
	conns := make([]net.Conn, clients)
	for i := range clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, CrowdTimeout)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(CrowdTimeout))
			send(conn, i)
		})
	}
	sending.Wait()
	time.Sleep(lingerTime)
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// Write sends the text and returns whether all of it was taken.
func Write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
