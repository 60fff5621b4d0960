// Package settings reads and validates the JSON settings files of the daemons. Unknown or duplicate fields, missing
// values and addresses that are not an IP address with a port are errors that name the field and the remedy.
package settings

import (
	"cmp"
	"net"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Platform holds the addresses of the platform's services, each an IP address with a port.
type Platform struct {
	TablesAddress  string `json:"tables_address" validate:"required,ip_port"`
	ObjectsAddress string `json:"objects_address" validate:"required,ip_port"`
	HostsAddress   string `json:"hosts_address" validate:"required,ip_port"`
	OriginAddress  string `json:"origin_address" validate:"required,ip_port"`
}

// Daemon holds the settings that lovage-entry and lovage-agent share.
type Daemon struct {
	Resources
	Host     core.Host `json:"host"`
	Platform Platform  `json:"platform"`
	Seeds    []string  `json:"seeds" validate:"dive,ip_port"` // control addresses of peers to query while the platform is unavailable

	// Addresses to listen on, if they differ from those that other hosts connect to.
	ListenData    string `json:"listen_data_address" validate:"omitempty,ip_port"`
	ListenControl string `json:"listen_control_address" validate:"omitempty,ip_port"`

	LogLevel string `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	DrainS   int    `json:"drain_s" validate:"gte=0,lte=3600"` // maximum duration of a graceful shutdown in seconds; 30 if absent
}

// Listen opens the control and the data listener. It returns an error of kind BadSettings if either cannot be opened.
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
		return nil, fault.Wrap(err, fault.BadSettings, "cannot listen on the "+name+" address", "correct the "+name+" address or stop the process that uses it")
	}
	return listener, nil
}

// Entry holds the settings of lovage-entry.
type Entry struct {
	Daemon
	MaxBodyBytes int `json:"max_body_bytes" validate:"gte=0"` // bytes; 4 MiB if absent
}

// Agent holds the settings of lovage-agent.
type Agent struct {
	Daemon
	BackendAddress  string      `json:"backend_address" validate:"required,ip_port"`
	BackendKind     string      `json:"backend_kind" validate:"oneof=engine plain"`
	WeightsBytes    int64       `json:"weights_bytes" validate:"gte=0"`      // memory for weights in bytes; 8 GiB if absent
	OriginRegion    core.Region `json:"origin_region"`                       // region of the origin; "" means that no link to the origin is rate limited
	RegionBytesPerS int64       `json:"region_bytes_per_s" validate:"gte=0"` // bandwidth for weights on the link between regions, in bytes per second; 0 means unlimited
	LinkBytesPerS   int64       `json:"link_bytes_per_s" validate:"gte=0"`   // bandwidth for weights on the host's link in each direction, in bytes per second; 0 means unlimited
}

// Defaults for settings that are absent from the file.
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

// LoadPlatform reads and checks a file that holds only the platform's addresses.
func LoadPlatform(path string) (Platform, error) {
	var addresses Platform
	err := load(path, &addresses, anyRole)
	return addresses, err
}
