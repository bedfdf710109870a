package arbutusfork

// Endpoint is one back end: a model runner, or an instance of a plain service.
type Endpoint struct {
	Name string `json:"name"`
	// Service names the service that the endpoint belongs to.
	Service string `json:"service"`
	// Address is the endpoint's IP address and port.
	Address string `json:"address"`
	// Centre names the endpoint's data centre.
	Centre string `json:"centre"`
	// MemoryMB is the accelerator memory in MB. It is zero for plain services.
	MemoryMB int64 `json:"memory,omitempty"`
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is the largest number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// EnforcesFence reports whether the endpoint refuses orders whose fencing number is below one that it has accepted.
	EnforcesFence bool `json:"fenced,omitempty"`
	// IsLeaving endpoints finish their running requests and get no new ones.
	IsLeaving bool `json:"leaving,omitempty"`
}

// WithLeaving returns a copy with IsLeaving set to the given value.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.IsLeaving = leaving
	return e
}
