//go:build !race

package systemtest

const raceFlag = "-race=false"
