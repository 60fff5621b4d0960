package routing

import (
	"github.com/lovageglade/lovageglade/internal/core"
)

// tier holds endpoints that a pick treats alike.
type tier []*Endpoint

// tierIndex orders endpoints by where they are, and in each place those of the wanted version go first.
type tierIndex int

const (
	localDesiredVersion tierIndex = iota
	localOtherVersion
	regionDesiredVersion
	regionOtherVersion
	remoteDesiredVersion
	remoteOtherVersion
	tierCount
)

// Place is where an entry stands.
type Place struct {
	FailureDomain core.FailureDomain
	Region        core.Region
}

// tierOf returns the tier of an endpoint at there, as seen from here.
func tierOf(entry, endpoint Place, desiredVersion bool) tierIndex {
	index := remoteDesiredVersion
	switch {
	case endpoint.FailureDomain == entry.FailureDomain:
		index = localDesiredVersion
	case endpoint.Region == entry.Region:
		index = regionDesiredVersion
	}
	if !desiredVersion {
		index++
	}
	return index
}
