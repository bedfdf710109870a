package arbutusfork

//go:generate stringer -type=ServiceKind -trimprefix=Service -output=service_string.go

// ServiceKind distinguishes model services from plain services.
type ServiceKind int

// The kinds of services.
const (
	ServiceModel ServiceKind = iota
	ServicePlain
)

// Service is a group of endpoints that answer the same requests and share a weight store and a placement policy.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// LoadsPerSecond bounds the model loads that start from the weight store per second. Zero means unlimited.
	LoadsPerSecond float64 `json:"loads,omitempty"`
	// ParallelLoads is the number of model loads from the weight store that run at once at full speed. Zero means unlimited.
	ParallelLoads int `json:"parallel,omitempty"`
	// Policy holds the costs and bounds by which models of this service are placed.
	Policy PlacementPolicy `json:"policy"`
}

// PlacementPolicy holds the costs that placement minimises and the default bound on replicas.
type PlacementPolicy struct {
	// ColdStartCost is the cost of one second for which one request waits for a model load.
	ColdStartCost float64 `json:"cold,omitempty"`
	// IdleCost is the cost of one second for which one accelerator holds an idle model.
	IdleCost float64 `json:"idle,omitempty"`
	// MaxReplicas bounds the replicas of each model that sets no bound. Zero means one.
	MaxReplicas int `json:"replicas,omitempty"`
}
