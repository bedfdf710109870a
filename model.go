package arbutusfork

import "strings"

// Model is a base checkpoint or an adapter of one that a service may offer.
type Model struct {
	// Name is the model's name, or base:adapter for an adapter.
	Name    string `json:"name"`
	Service string `json:"service"`
	// Memory is the accelerator memory that a loaded replica occupies, in MB.
	Memory int64 `json:"memory"`
	// Remote, Disk and Host are load times in milliseconds from the weight store, the endpoint's disk and its memory.
	Remote int64 `json:"remote"`
	Disk   int64 `json:"disk"`
	Host   int64 `json:"host"`
	// Replicas bounds the replicas of the model. Zero means the service's policy.
	Replicas int `json:"replicas,omitempty"`
}

const adapterSeparator = ":"

// SplitModel separates base:adapter. The adapter is empty for a base model.
func SplitModel(name string) (base, adapter string) {
	base, adapter, _ = strings.Cut(name, adapterSeparator)
	return base, adapter
}

// Base returns the name of the base model.
func (m Model) Base() string {
	base, _ := SplitModel(m.Name)
	return base
}

// IsAdapter reports whether the model is an adapter of a base model.
func (m Model) IsAdapter() bool {
	return strings.Contains(m.Name, adapterSeparator)
}
