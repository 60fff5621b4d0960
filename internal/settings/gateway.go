package settings

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Place identifies the process and its location, and holds the settings that gateways and sidecars share.
type Place struct {
	Resources
	Host          core.HostID                        `json:"host" validate:"required"`
	FailureDomain core.FailureDomain                 `json:"failure_domain" validate:"required"`
	Region        core.Region                        `json:"region" validate:"required"`
	Regions       map[core.FailureDomain]core.Region `json:"regions" validate:"required"` // region of each failure domain
	Address       string                             `json:"address" validate:"required"` // IP address of this machine
	StoreAddress  string                             `json:"store_address" validate:"required,ip_port"`
	LogLevel      string                             `json:"log_level" validate:"omitempty,oneof=debug info warn error"`

	// GCPercent is the garbage collection target in percent, as in GOGC: the heap growth that triggers the next
	// collection. 0 keeps the runtime's default of 100. Use a lower value where memory costs more than CPU time; see the
	// measurement in docs/operations/platform.md.
	GCPercent int `json:"collector_percent" validate:"gte=0,lte=1000"`

	// Admission tells whether requests for engines are ranked and may wait for room: "auto" (the default) does so for services
	// whose configuration declares aims and ranks, "on" for all, "off" for none.
	Admission string `json:"admission" validate:"omitempty,oneof=auto on off"`

	// Delegates are the control addresses of the gateways that read the store on behalf of other processes. Delegates
	// that are down are skipped. Without delegates, each process reads the store itself.
	Delegates []string `json:"delegates" validate:"dive,ip_port"`

	// Ports is the first and the last port for traffic between the system's processes, the same on every machine.
	// Sidecars listen on the first three ports.
	Ports       []int `json:"ports" validate:"len=2,dive,gte=1,lte=65535"`
	MetricsPort int   `json:"metrics_port" validate:"gte=0,lte=65535"` // 0 serves no metrics
}

// RelayPort returns the port on which sidecars accept requests.
func (p Place) RelayPort() int { return p.Ports[0] }

// ControlPort returns the port on which sidecars accept control messages.
func (p Place) ControlPort() int { return p.Ports[0] + 1 }

// ChunkPort returns the port on which sidecars serve chunks of weights.
func (p Place) ChunkPort() int { return p.Ports[0] + 2 }

// Millis is a duration in milliseconds.
type Millis float64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Gateway holds the settings of lovage-gateway.
type Gateway struct {
	Place
	FrontAddress   string `json:"front_address" validate:"required,ip_port"`
	ReadyAddress   string `json:"ready_address" validate:"required,ip_port"`
	ControlAddress string `json:"control_address" validate:"required,ip_port"` // for control messages to the gateway

	GraceMs      Millis `json:"grace_ms" validate:"gt=0"`       // from SIGTERM until the process is killed
	RevocationMs Millis `json:"revocation_ms" validate:"gte=0"` // time within which a revoked API key must stop working; 0 means no limit
	// ConfigurationMs is the time within which a new configuration must be in force, and DepartureMs that within which an
	// endpoint that has left must get no requests. A gateway whose view is older refuses requests with a key; 0 means no limit.
	ConfigurationMs  Millis  `json:"configuration_ms" validate:"gte=0"`
	DepartureMs      Millis  `json:"departure_ms" validate:"gte=0"`
	VersionRolloutMs Millis  `json:"version_ms" validate:"gt=0"`   // time within which a newly configured model version must run everywhere
	RetryRatio       float64 `json:"retry_share" validate:"gte=0"` // retry budget: retries per request, over all gateways
}

// Sidecar holds the settings of lovage-sidecar.
type Sidecar struct {
	Place
	EngineAddress    string       `json:"engine_address" validate:"required,ip_port"`
	Service          core.Service `json:"service" validate:"required"`
	GraceMs          Millis       `json:"grace_ms" validate:"gt=0"`
	VersionRolloutMs Millis       `json:"version_ms" validate:"gt=0"`
	LinkMbps         float64      `json:"link_mbps" validate:"gte=0"` // link rate of this machine in each direction, in Mbit/s; 0 means unlimited
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
		return settings, fault.New(fault.BadSettings, path+": ports spans fewer than three ports", "use a wider range of ports")
	}
	return settings, nil
}
