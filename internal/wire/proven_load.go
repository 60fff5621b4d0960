package wire

import (
	"strconv"
	"strings"
)

// HeaderProvenLoad is set by a sidecar on all its responses to the ProvenLoad of its engine. It is absent while there is none.
const HeaderProvenLoad = "Lovage-Proven-Load"

// ProvenLoad is a version whose chunks were whole when the engine loaded them, and the engine's incarnation, for which it holds.
type ProvenLoad struct {
	Version   int64
	StartedMs int64 // start of the engine by its own clock, in milliseconds since the Unix epoch; 0 if unknown
}

// String returns the value of the header.
func (p ProvenLoad) String() string {
	return strconv.FormatInt(p.Version, 10) + "," + strconv.FormatInt(p.StartedMs, 10)
}

// ParseProvenLoad returns the load in the value of the header; false if there is none.
func ParseProvenLoad(value string) (ProvenLoad, bool) {
	versionText, startedText, _ := strings.Cut(value, ",")
	version, err := strconv.ParseInt(versionText, 10, 64)
	if err != nil || version <= 0 {
		return ProvenLoad{}, false
	}
	started, err := strconv.ParseInt(startedText, 10, 64)
	if err != nil || started < 0 {
		return ProvenLoad{}, false
	}
	return ProvenLoad{Version: version, StartedMs: started}, true
}
