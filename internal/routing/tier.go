package routing

import (
	"github.com/lovageglade/lovageglade/internal/core"
)

// tier is a set of endpoints of equal preference.
type tier []*Endpoint

// tierIndex orders tiers by distance from the entry. At each distance, endpoints with the desired version come before
// endpoints with another accepted one.
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

// Locality is the location of an entry or an endpoint.
type Locality struct {
	FailureDomain core.FailureDomain
	Region        core.Region
}

// tierOf returns the tier of an endpoint as seen from the entry. The argument desiredVersion tells whether it serves
// the version that the service's rule selects.
func tierOf(entry, endpoint Locality, desiredVersion bool) tierIndex {
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
