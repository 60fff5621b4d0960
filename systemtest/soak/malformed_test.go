package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const malformedShare = 0.05 // of the answers while back ends are faulty

// malformedAnswers are heads that are none, with bodies that are not the back end's if the heads are taken for ones. They are formats of
// the fields of a head, the length of the body and the body.
var malformedAnswers = []string{
	"HTTP/1.1 000 x\r\n%sContent-Length: %d\r\n\r\nnot %s",
	"HTTP/1.1 200 x\r\n%sContent-Length : %d\r\n\r\n%s and more",
	"HTTP/1.1 200 x\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"HTTP/1.0 200 x\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"HTTP/1.1 200 x\r\n%sA\x00: %d\r\n\r\n%s and more",
}

// sendMalformed sends bytes that look like a signed answer and are none.
func (b *backend) sendMalformed(rw http.ResponseWriter, run platformtest.Run) {
	b.Sign(rw, run)
	header := rw.Header().Clone()
	socket, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer socket.Close()
	body := answerBody(run.ID, b.ID)
	if b.engine != nil {
		header.Set("Content-Type", "text/event-stream")
		body = streamEvent(run.ID, 1)
	}
	fields := ""
	for name, values := range header {
		fields += name + ": " + values[0] + "\r\n"
	}
	_, _ = io.WriteString(socket, fmt.Sprintf(malformedAnswers[rand.IntN(len(malformedAnswers))], fields, len(body), body)) // fails only if the caller has disconnected
}
