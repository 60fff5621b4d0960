package routing

import (
	"github.com/lovageglade/lovageglade/internal/core"
)

// tier holds endpoints that a pick treats alike.
type tier []*Endpoint

// tierNumber orders endpoints by where they are, and in each place those of the wanted version go first.
type tierNumber int

const (
	localWanted tierNumber = iota
	localOther
	regionWanted
	regionOther
	remoteWanted
	remoteOther
	tierCount
)

// Place is where an entry stands.
type Place struct {
	FailureDomain core.FailureDomain
	Region        core.Region
}

// tierOf returns the tier of an endpoint at there, as seen from here.
func tierOf(here, there Place, wanted bool) tierNumber {
	number := remoteWanted
	switch {
	case there.FailureDomain == here.FailureDomain:
		number = localWanted
	case there.Region == here.Region:
		number = regionWanted
	}
	if !wanted {
		number++
	}
	return number
}
