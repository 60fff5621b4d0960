//go:build race

package programs

const raceFlag = "-race=true"
