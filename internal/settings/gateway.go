package settings

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Place says which process this is and where it stands.
type Place struct {
	Host          core.HostID                        `json:"host" validate:"required"`
	FailureDomain core.FailureDomain                 `json:"failure_domain" validate:"required"`
	Region        core.Region                        `json:"region" validate:"required"`
	Regions       map[core.FailureDomain]core.Region `json:"regions" validate:"required"` // the region of each failure domain
	Address       string                             `json:"address" validate:"required"` // IP number of this machine
	StoreAddress  string                             `json:"store_address" validate:"required,ip_port"`
	LogLevel      string                             `json:"log_level" validate:"omitempty,oneof=debug info warn error"`

	// CollectorPercent is by how much the heap may grow between two collections, in percent; 0 for the runtime's own 100.
	// Where memory costs more than processor time it is lower (docs/operations/platform.md has the measurement).
	CollectorPercent int `json:"collector_percent" validate:"gte=0,lte=1000"`

	// Delegates are the control addresses of gateways that read the store for the others. Those that are down are passed
	// over; without any, each process reads for itself.
	Delegates []string `json:"delegates" validate:"dive,ip_port"`

	// Ports is the first and the last port that the system's processes may use among themselves, the same on every
	// machine. The sidecars listen at the first three.
	Ports       []int `json:"ports" validate:"len=2,dive,gte=1,lte=65535"`
	MetricsPort int   `json:"metrics_port" validate:"gte=0,lte=65535"` // 0 serves no metrics
}

// RelayPort is where sidecars take requests.
func (p Place) RelayPort() int { return p.Ports[0] }

// ControlPort is where sidecars take control messages.
func (p Place) ControlPort() int { return p.Ports[0] + 1 }

// ChunkPort is where sidecars serve chunks of weights.
func (p Place) ChunkPort() int { return p.Ports[0] + 2 }

// Millis is a time in milliseconds.
type Millis float64

// Duration returns the time.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Gateway holds the settings of lovage-gateway.
type Gateway struct {
	Place
	FrontAddress   string `json:"front_address" validate:"required,ip_port"`
	ReadyAddress   string `json:"ready_address" validate:"required,ip_port"`
	ControlAddress string `json:"control_address" validate:"required,ip_port"` // of the gateway's own control messages

	GraceMs      Millis  `json:"grace_ms" validate:"gt=0"`       // from SIGTERM until the process is killed
	RevocationMs Millis  `json:"revocation_ms" validate:"gte=0"` // within which a key that was taken away stops working; 0 for no bound
	VersionMs    Millis  `json:"version_ms" validate:"gt=0"`     // within which a named model version runs everywhere
	RetryShare   float64 `json:"retry_share" validate:"gte=0"`   // further sends for each request, over all gateways
}

// Sidecar holds the settings of lovage-sidecar.
type Sidecar struct {
	Place
	EngineAddress string       `json:"engine_address" validate:"required,ip_port"`
	Service       core.Service `json:"service" validate:"required"`
	GraceMs       Millis       `json:"grace_ms" validate:"gt=0"`
	VersionMs     Millis       `json:"version_ms" validate:"gt=0"`
	LinkMbps      float64      `json:"link_mbps" validate:"gte=0"` // of this machine, each way; 0 for no bound
}

// LoadGateway reads and checks the settings file of a gateway.
func LoadGateway(path string) (Gateway, error) {
	var settings Gateway
	err := load(path, &settings, anyRole)
	return settings, err
}

// LoadSidecar reads and checks the settings file of a sidecar.
func LoadSidecar(path string) (Sidecar, error) {
	var settings Sidecar
	err := load(path, &settings, anyRole)
	if err != nil {
		return settings, err
	}
	if settings.ChunkPort() > settings.Ports[1] {
		return settings, fault.New(fault.BadSettings, path+": ports holds fewer than three ports", "write a first and a last port that lie further apart")
	}
	return settings, nil
}
