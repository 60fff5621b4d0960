package operate

import (
	"io"
	"net"
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/settings"
)

// TestUnknownOutcomeNamesThePublishID publishes to a platform that does not listen.
func TestUnknownOutcomeNamesThePublishID(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	operator := New(settings.Platform{TablesAddress: address, ObjectsAddress: address, HostsAddress: address, OriginAddress: address}, io.Discard)
	err = operator.commit(t.Context(), config.Publication{}, PublishOptions{PublishID: "mine"})
	want := "run the command again with --publish-id mine, which publishes at most once"
	if !fault.Is(err, fault.PlatformUnavailable) || fault.Remedy(err) != want || ExitCode(err) != ExitPlatformUnavailable {
		t.Fatalf("got %v, exit code %d", err, ExitCode(err))
	}
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		err  error
		want int
	}{
		{nil, 0},
		{io.EOF, ExitFailed},
		{fault.New(fault.Internal, "", ""), ExitFailed},
		{fault.New(fault.BadConfig, "", ""), ExitInvalidConfig},
		{fault.New(fault.BadSettings, "", ""), ExitInvalidConfig},
		{fault.New(fault.Conflict, "", ""), ExitConflict},
		{fault.New(fault.DeadlinePassed, "", ""), ExitUnconfirmed},
		{fault.New(fault.ObjectiveBurning, "", ""), ExitBurnRate},
		{fault.New(fault.PlatformUnavailable, "", ""), ExitPlatformUnavailable},
		{fault.New(fault.NotFound, "", ""), ExitNotFound},
	} {
		if got := ExitCode(test.err); got != test.want {
			t.Errorf("%v: exit code %d, want %d", test.err, got, test.want)
		}
	}
}
