package core

// Role is the kind of process that runs on a host.
type Role string

// The roles of a host.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// HostState is a host's state in the platform's host list.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host describes a host of the system and the addresses of its process.
type Host struct {
	ID             HostID        `json:"id" validate:"required"`
	Role           Role          `json:"role" validate:"oneof=entry agent"`
	FailureDomain  FailureDomain `json:"failure_domain" validate:"required"`
	Region         Region        `json:"region" validate:"required"`
	DataAddress    string        `json:"data_address" validate:"required,ip_port"`    // HTTP: requests and weight chunks
	ControlAddress string        `json:"control_address" validate:"required,ip_port"` // JSON-RPC: control messages
	State          HostState     `json:"state,omitempty"`
}
