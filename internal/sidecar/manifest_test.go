package sidecar

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/weights"
)

func TestAllSidecarsAgreeOnWhoAsksTheOrigin(t *testing.T) {
	var hosts []core.Host
	for i := range 99 {
		hosts = append(hosts, core.Host{ID: core.HostID(fmt.Sprint("10.0.0.", i))})
	}
	readers := readersOf(hosts, 2)
	if len(readers) != manifestReaders {
		t.Fatalf("%d hosts ask the origin, want %d", len(readers), manifestReaders)
	}
	turned := slices.Clone(hosts)
	slices.Reverse(turned)
	if !slices.Equal(readersOf(turned, 2), readers) {
		t.Error("another order of the list gives other readers")
	}
	if slices.Equal(readersOf(hosts, 3), readers) {
		t.Error("the next version has the same readers")
	}
	if few := readersOf(hosts[:2], 2); len(few) != 2 {
		t.Errorf("%d of two hosts ask", len(few))
	}
}

// countingOrigin counts the manifests that it is asked for.
type countingOrigin struct {
	fakeOrigin
	manifests atomic.Int32
}

func (o *countingOrigin) Manifest(ctx context.Context, address string, model core.Model, version int64) (weights.Manifest, error) {
	o.manifests.Add(1)
	return o.fakeOrigin.Manifest(ctx, address, model, version)
}

// After a loss of all power each of a hundred sidecars asked the origin, which takes 48 connections; some had the manifest
// after four seconds.
func TestAManifestComesFromAPeerThatAskedTheOrigin(t *testing.T) {
	origin := &countingOrigin{}
	reader := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.Serve(listener, reader.methods())
	t.Cleanup(server.Close)
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1}, origin, &fakeSource{}, "127.0.0.1:9")
	wait(t, "the first version", func() bool { return s.serving.Load() == 1 })
	k := &keeper{sidecar: s, model: model}
	for i := range 2 * manifestReaders {
		k.hosts = append(k.hosts, core.Host{ID: core.HostID(fmt.Sprint("peer-", i)), ControlAddress: listener.Addr().String()})
	}
	self := core.Host{ID: core.HostID(s.settings.Address)}
	version := int64(100)
	for slices.ContainsFunc(readersOf(append(slices.Clone(k.hosts), self), version), func(host core.Host) bool { return host.ID == self.ID }) {
		version++
	}
	g := &goal{version: version, named: bootclock.Now()}
	before := origin.manifests.Load()
	if _, err := k.manifest(context.Background(), s.follower.View(), g); err == nil {
		t.Error("a manifest came from nowhere")
	}
	wanted, err := reader.origin.Manifest(context.Background(), "", model, version)
	if err != nil {
		t.Fatal(err)
	}
	key := manifestRequest{Model: model, Version: version}
	reader.keepManifest(key, &wanted)
	if got, err := k.manifest(context.Background(), s.follower.View(), g); err != nil || !slices.Equal(got.Chunks, wanted.Chunks) {
		t.Errorf("%+v, %v", got, err)
	}
	if asked := origin.manifests.Load() - before; asked != 0 {
		t.Errorf("the origin was asked %d times for what a peer has", asked)
	}
	reader.keepManifest(key, nil)
	g.named -= 2 * manifestPatience
	if _, err := k.manifest(context.Background(), s.follower.View(), g); err != nil {
		t.Errorf("the origin is not asked although no peer had the manifest for long: %v", err)
	}
}
