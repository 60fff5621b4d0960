//go:build !race

package soak

const raceFlag = "-race=false"
