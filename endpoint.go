package arbutusfork

// Endpoint is a model runner or an instance of a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is the endpoint's IP address and port.
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// MemoryMB is the accelerator memory in MB. Zero for plain services.
	MemoryMB int64 `json:"memory,omitempty"`
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators int `json:"accelerators,omitempty"`
	// Slots bounds the requests that run at once.
	Slots int `json:"slots"`
	// EnforcesFence tells that the endpoint refuses orders with an old fencing number.
	EnforcesFence bool `json:"fenced,omitempty"`
	// IsLeaving stops new work to the endpoint.
	IsLeaving bool `json:"leaving,omitempty"`
}

// WithLeaving returns a copy that takes no new work.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.IsLeaving = leaving
	return e
}
