package sidecar

import (
	"net/http"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// recordProven records the load that gateways may rely on while they cannot reach this process; none unless it is proven.
func (s *Sidecar) recordProven(report EngineReport, proof loadProof) {
	if proof.state != loadProven {
		s.provenLoad.Store(nil)
		return
	}
	load := wire.ProvenLoad{Version: proof.version}
	if !report.StartedAt.IsZero() {
		load.StartedMs = report.StartedAt.UnixMilli()
	}
	s.provenLoad.Store(&load)
}

// setProvenHeader states the engine's load if it is proven.
func (s *Sidecar) setProvenHeader(header http.Header) {
	if load := s.provenLoad.Load(); load != nil {
		header.Set(wire.HeaderProvenLoad, load.String())
	}
}
