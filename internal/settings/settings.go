// Package settings reads the JSON settings of the daemons strictly: an unknown or repeated field, a missing value or an
// address that is not an IP number with a port is an error that names the field and the remedy.
package settings

import (
	"cmp"
	"net"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Platform names the addresses of the platform's systems, as IP number and port.
type Platform struct {
	TablesAddress  string `json:"tables_address" validate:"required,ip_port"`
	ObjectsAddress string `json:"objects_address" validate:"required,ip_port"`
	HostsAddress   string `json:"hosts_address" validate:"required,ip_port"`
	OriginAddress  string `json:"origin_address" validate:"required,ip_port"`
}

// Daemon holds what every daemon of the system needs to know at its start.
type Daemon struct {
	Host     core.Host `json:"host"`
	Platform Platform  `json:"platform"`
	Seeds    []string  `json:"seeds" validate:"dive,ip_port"` // control addresses of peers to ask when the platform is away

	// Where to listen, when it is another address than the one that others reach.
	ListenData    string `json:"listen_data_address" validate:"omitempty,ip_port"`
	ListenControl string `json:"listen_control_address" validate:"omitempty,ip_port"`

	LogLevel string `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	DrainS   int    `json:"drain_s" validate:"gte=0,lte=3600"` // seconds that a graceful shutdown may take; 0 means 30
}

// Listen opens the listeners of the control and the data address.
func (d Daemon) Listen() (control, data net.Listener, err error) {
	control, err = listen(cmp.Or(d.ListenControl, d.Host.ControlAddress), "control")
	if err != nil {
		return nil, nil, err
	}
	data, err = listen(cmp.Or(d.ListenData, d.Host.DataAddress), "data")
	if err != nil {
		_ = control.Close()
		return nil, nil, err
	}
	return control, data, nil
}

func listen(address, name string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "the "+name+" address cannot be listened on", "correct the "+name+" address or end the process that holds it")
	}
	return listener, nil
}

// Entry holds the settings of lovage-entry.
type Entry struct {
	Daemon
	MaxBodyBytes int `json:"max_body_bytes" validate:"gte=0"` // bytes; 0 means 4 MiB
}

// Agent holds the settings of lovage-agent.
type Agent struct {
	Daemon
	BackendAddress  string      `json:"backend_address" validate:"required,ip_port"`
	BackendKind     string      `json:"backend_kind" validate:"oneof=engine plain"`
	WeightsBytes    int64       `json:"weights_bytes" validate:"gte=0"`      // memory for weights in bytes; 0 means 8 GiB
	OriginRegion    core.Region `json:"origin_region"`                       // region that holds the origin; "" means that no link to it is bounded
	RegionBytesPerS int64       `json:"region_bytes_per_s" validate:"gte=0"` // share of the link between regions for weights, in bytes a second; 0 means unlimited
	LinkBytesPerS   int64       `json:"link_bytes_per_s" validate:"gte=0"`   // rate of the host's link for weights, each way; 0 means unlimited
}

// Defaults of values that are absent from the settings.
const (
	DefaultDrainS             = 30
	DefaultMaxBodyBytes       = 4 << 20
	DefaultWeightsBytes int64 = 8 << 30
)

// LoadEntry reads and checks the settings file of an entry.
func LoadEntry(path string) (Entry, error) {
	settings := Entry{MaxBodyBytes: DefaultMaxBodyBytes}
	settings.DrainS = DefaultDrainS
	err := load(path, &settings, core.RoleEntry)
	return settings, err
}

// LoadAgent reads and checks the settings file of an agent.
func LoadAgent(path string) (Agent, error) {
	settings := Agent{WeightsBytes: DefaultWeightsBytes}
	settings.DrainS = DefaultDrainS
	err := load(path, &settings, core.RoleAgent)
	return settings, err
}

// LoadPlatform reads and checks a file with the platform's addresses alone.
func LoadPlatform(path string) (Platform, error) {
	var addresses Platform
	err := load(path, &addresses, anyRole)
	return addresses, err
}
