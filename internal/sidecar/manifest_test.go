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

func TestSidecarsAgreeOnOriginReaders(t *testing.T) {
	var hosts []core.Host
	for i := range 99 {
		hosts = append(hosts, core.Host{ID: core.HostID(fmt.Sprint("10.0.0.", i))})
	}
	readers := selectOriginReaders(hosts, 2)
	if len(readers) != originReaders {
		t.Fatalf("%d hosts ask the origin, want %d", len(readers), originReaders)
	}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	if !slices.Equal(selectOriginReaders(reversed, 2), readers) {
		t.Error("another order of the list gives other readers")
	}
	if slices.Equal(selectOriginReaders(hosts, 3), readers) {
		t.Error("the next version has the same readers")
	}
	if few := selectOriginReaders(hosts[:2], 2); len(few) != 2 {
		t.Errorf("%d of two hosts ask", len(few))
	}
}

// countingOrigin counts the manifests that it is asked for.
type countingOrigin struct {
	fakeOrigin
	manifestRequests atomic.Int32
}

func (o *countingOrigin) Manifest(ctx context.Context, address string, model core.Model, version int64) (weights.Manifest, error) {
	o.manifestRequests.Add(1)
	return o.fakeOrigin.Manifest(ctx, address, model, version)
}

// After a loss of all power each of a hundred sidecars asked the origin, which takes 48 connections; some had the manifest
// after four seconds.
func TestManifestIsFetchedFromPeerBeforeOrigin(t *testing.T) {
	origin := &countingOrigin{}
	reader := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.Serve(listener, reader.methods())
	t.Cleanup(server.Close)
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}, origin, &fakeSource{}, "127.0.0.1:9")
	waitFor(t, "the first version", func() bool { return s.servingVersion.Load() == 1 })
	u := &updater{sidecar: s, model: model}
	for i := range 2 * originReaders {
		u.peers = append(u.peers, core.Host{ID: core.HostID(fmt.Sprint("peer-", i)), ControlAddress: listener.Addr().String()})
	}
	self := core.Host{ID: core.HostID(s.settings.Address)}
	version := int64(100)
	for slices.ContainsFunc(selectOriginReaders(append(slices.Clone(u.peers), self), version), func(host core.Host) bool { return host.ID == self.ID }) {
		version++
	}
	target := &targetVersion{version: version, requestedAt: bootclock.Now()}
	before := origin.manifestRequests.Load()
	if _, err := u.obtainManifest(context.Background(), s.follower.View(), target); err == nil {
		t.Error("a manifest came from nowhere")
	}
	wanted, err := reader.origin.Manifest(context.Background(), "", model, version)
	if err != nil {
		t.Fatal(err)
	}
	key := manifestRequest{Model: model, Version: version}
	reader.shareManifest(key, &wanted)
	if got, err := u.obtainManifest(context.Background(), s.follower.View(), target); err != nil || !slices.Equal(got.Chunks, wanted.Chunks) {
		t.Errorf("%+v, %v", got, err)
	}
	if requests := origin.manifestRequests.Load() - before; requests != 0 {
		t.Errorf("the origin was asked %d times for what a peer has", requests)
	}
	reader.shareManifest(key, nil)
	target.requestedAt -= 2 * peerManifestTimeout
	if _, err := u.obtainManifest(context.Background(), s.follower.View(), target); err != nil {
		t.Errorf("the origin is not asked although no peer had the manifest for long: %v", err)
	}
}
