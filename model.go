package arbutusfork

import "strings"

// Model is a base checkpoint or an adapter of one that a service may offer.
type Model struct {
	// Name is the model's name, or base:adapter for an adapter.
	Name    string `json:"name"`
	Service string `json:"service"`
	// MemoryMB is the accelerator memory that a loaded replica occupies, in MB.
	MemoryMB int64 `json:"memory"`
	// Remote, Disk and Host are load times in milliseconds from the weight store, the endpoint's disk and its memory.
	StoreLoadMillis  int64 `json:"remote"`
	DiskLoadMillis   int64 `json:"disk"`
	MemoryLoadMillis int64 `json:"host"`
	// MaxReplicas bounds the replicas of the model. Zero means the service's policy.
	MaxReplicas int `json:"replicas,omitempty"`
}

const adapterSeparator = ":"

// SplitModelName separates base:adapter. The adapter is empty for a base model.
func SplitModelName(name string) (base, adapter string) {
	base, adapter, _ = strings.Cut(name, adapterSeparator)
	return base, adapter
}

// BaseName returns the name of the base model.
func (m Model) BaseName() string {
	base, _ := SplitModelName(m.Name)
	return base
}

// IsAdapter reports whether the model is an adapter of a base model.
func (m Model) IsAdapter() bool {
	return strings.Contains(m.Name, adapterSeparator)
}
