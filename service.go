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
	// Loads is the weight store's budget in loads started per second. Zero means unlimited.
	Loads float64 `json:"loads,omitempty"`
	// Parallel is the number of loads that run at once at full speed. Zero means unlimited.
	Parallel int `json:"parallel,omitempty"`
	// Policy sets what placement weighs for this service.
	Policy Policy `json:"policy"`
}

// Policy holds the placement and fairness weights that a deployment chooses.
type Policy struct {
	// Cold is the cost of one second of cold-start wait of one request.
	Cold float64 `json:"cold,omitempty"`
	// Idle is the cost of one accelerator-second that holds an idle model.
	Idle float64 `json:"idle,omitempty"`
	// Replicas bounds the replicas of one model. Zero means one.
	Replicas int `json:"replicas,omitempty"`
}
