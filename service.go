package arbutusfork

//go:generate stringer -type=ServiceKind -trimprefix=Service -output=service_string.go

// ServiceKind tells model services from plain ones.
type ServiceKind int

// The kinds of services.
const (
	ServiceModel ServiceKind = iota
	ServicePlain
)

// Service is a group of endpoints that share a purpose, a weight store and policy settings.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// LoadsPerSecond is the weight store's budget in loads started per second. Zero means unlimited.
	LoadsPerSecond float64 `json:"loads,omitempty"`
	// ParallelLoads is the number of loads that run at once at full speed. Zero means unlimited.
	ParallelLoads int `json:"parallel,omitempty"`
	// Policy sets what placement weighs for this service.
	Policy PlacementPolicy `json:"policy"`
}

// PlacementPolicy holds the placement and fairness weights that a deployment chooses.
type PlacementPolicy struct {
	// ColdStartCost is the cost of one second of cold-start wait of one request.
	ColdStartCost float64 `json:"cold,omitempty"`
	// IdleCost is the cost of one accelerator-second that holds an idle model.
	IdleCost float64 `json:"idle,omitempty"`
	// MaxReplicas bounds the replicas of one model. Zero means one.
	MaxReplicas int `json:"replicas,omitempty"`
}
