package ingress

import (
	"testing"

	"github.com/lovageglade/lovageglade/internal/settings"
)

// The machines of the platform. What clients can make a process and its system hold leaves a third of the memory and of the
// descriptors.
func TestSharesLeaveRoomForTheProcess(t *testing.T) {
	for _, machine := range []settings.Resources{{MemoryMB: 284, MaxDescriptors: 4100}, {MemoryMB: 184, MaxDescriptors: 4100}, {MemoryMB: 184, MaxDescriptors: 8192}, {MemoryMB: 536, MaxDescriptors: 8192}, {MemoryMB: 152, MaxDescriptors: 2048}} {
		for _, shares := range []Shares{CallerShares, RelayShares} {
			options := shares.Of(machine)
			held := options.Memory + int64(options.Connections*options.SocketBytes)
			if held > machine.MemoryBytes()*2/3 || options.Connections > machine.MaxDescriptors*2/3 {
				t.Errorf("%+v: %d bytes and %d connections of clients", machine, held, options.Connections)
			}
			const bodyWithGrowth, ordinary = 7 << 20, 100 // a body of 4 MB, and connections beside it
			if options.Memory*3/4 < bodyWithGrowth+ordinary*connBytes || options.Connections < 4*ordinary {
				t.Errorf("%+v: %d bytes and %d connections are too few for ordinary clients", machine, options.Memory, options.Connections)
			}
		}
	}
}
