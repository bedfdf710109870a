package arbutusfork

import "strings"

// Model is a base model or an adapter of a base model that a service may offer.
type Model struct {
	// Name is the name of the base model, or base:adapter for an adapter.
	Name string `json:"name"`
	// Service names the model service whose endpoints load the model.
	Service string `json:"service"`
	// MemoryMB is the accelerator memory that a loaded replica occupies, in MB.
	MemoryMB int64 `json:"memory"`
	// StoreLoadMillis is the time to load the weights from the weight store, in milliseconds.
	StoreLoadMillis int64 `json:"remote"`
	// DiskLoadMillis is the time to load the weights from the endpoint's disk, in milliseconds.
	DiskLoadMillis int64 `json:"disk"`
	// MemoryLoadMillis is the time to load the weights from the endpoint's main memory, in milliseconds.
	MemoryLoadMillis int64 `json:"host"`
	// MaxReplicas bounds the replicas of the model. Zero means the bound of the service's policy.
	MaxReplicas int `json:"replicas,omitempty"`
}

const adapterSeparator = ":"

// SplitModelName splits base:adapter into its parts. The adapter is empty for a base model.
func SplitModelName(name string) (base, adapter string) {
	base, adapter, _ = strings.Cut(name, adapterSeparator)
	return base, adapter
}

// BaseName returns the name of the base model, which is the model itself or the base of the adapter.
func (m Model) BaseName() string {
	base, _ := SplitModelName(m.Name)
	return base
}

// IsAdapter reports whether the model is an adapter of a base model.
func (m Model) IsAdapter() bool {
	return strings.Contains(m.Name, adapterSeparator)
}
