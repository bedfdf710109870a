package afverb

import (
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// resource defines the verbs of one kind of object.
type resource struct {
	verb    string
	help    string
	kind    string
	options []option
	columns []column
	// fixed names the verbs that are left out.
	fixed []string
}

// option is a flag of a set verb that writes one field of the spec.
type option struct {
	flag  string
	path  []string // path leads to the field through nested objects.
	parse func(text string) (any, error)
	help  string
}

// column shows one field of a spec in a list.
type column struct {
	title string
	path  []string
	show  func(v any) string
}

var resources = []resource{
	{
		verb: "customer", help: "Customers and their limits.", kind: afobject.KindCustomers,
		options: []option{
			{"rate", []string{"rate"}, whole, "Sustained tokens per second over all VMs."},
			{"burst", []string{"burst"}, whole, "Bucket capacity in tokens over all VMs."},
			{"weight", []string{"weight"}, number, "Share in fair queuing. Zero means proportional to the rate."},
		},
		columns: []column{{"RATE", []string{"rate"}, nil}, {"BURST", []string{"burst"}, nil}, {"WEIGHT", []string{"weight"}, nil}},
	},
	{
		verb: "key", help: "Callers' keys.", kind: afobject.KindKeys, fixed: []string{"set"},
		columns: []column{{"CUSTOMER", []string{"customer"}, nil}, {"WITHDRAWN", []string{"withdrawn"}, yes}},
	},
	{
		verb: "route", help: "Routes from callers' paths to services.", kind: afobject.KindRoutes,
		options: []option{
			{"path", []string{"path"}, text, "Path prefix. Empty for a model service."},
			{"service", []string{"service"}, text, "Service."},
			{"open", []string{"open"}, flag, "Admit requests without a key."},
			{"once", []string{"once"}, flag, "Run calls at most once."},
			{"customers", []string{"customers"}, texts, "Customers that may use the route, separated by commas. Empty means all."},
			{"models", []string{"models"}, texts, "Models that the route offers, separated by commas. Empty means all."},
			{"deadline", []string{"deadline"}, milliseconds, "Default time to the first byte, such as 30s."},
			{"tokens", []string{"tokens"}, whole, "Default bound on generated tokens."},
		},
		columns: []column{
			{"PATH", []string{"path"}, nil},
			{"SERVICE", []string{"service"}, nil},
			{"OPEN", []string{"open"}, yes},
			{"ONCE", []string{"once"}, yes},
			{"CUSTOMERS", []string{"customers"}, all},
			{"MODELS", []string{"models"}, count},
			{"DEADLINE", []string{"deadline"}, duration},
		},
	},
	{
		verb: "service", help: "Groups of endpoints.", kind: afobject.KindServices, fixed: []string{"rm"},
		options: []option{
			{"kind", []string{"kind"}, serviceKind, "model or plain."},
			{"loads", []string{"loads"}, number, "Weight store budget in loads per second. Zero means unlimited."},
			{"parallel", []string{"parallel"}, whole, "Loads at once at full speed. Zero means unlimited."},
			{"cold", []string{"policy", "cold"}, number, "Cost of a second of cold-start wait."},
			{"idle", []string{"policy", "idle"}, number, "Cost of an idle accelerator-second."},
			{"replicas", []string{"policy", "replicas"}, whole, "Most replicas of one model. Zero means one."},
		},
		columns: []column{
			{"KIND", []string{"kind"}, showServiceKind},
			{"LOADS/S", []string{"loads"}, nil},
			{"PARALLEL", []string{"parallel"}, nil},
			{"COLD", []string{"policy", "cold"}, nil},
			{"IDLE", []string{"policy", "idle"}, nil},
			{"REPLICAS", []string{"policy", "replicas"}, nil},
		},
	},
	{
		verb: "model", help: "Models and adapters.", kind: afobject.KindModels,
		options: []option{
			{"service", []string{"service"}, text, "Service."},
			{"memory", []string{"memory"}, whole, "Accelerator memory of a replica in MB."},
			{"remote", []string{"remote"}, milliseconds, "Load time from the weight store, such as 90s."},
			{"disk", []string{"disk"}, milliseconds, "Load time from the endpoint's disk."},
			{"host", []string{"host"}, milliseconds, "Load time from the endpoint's memory."},
			{"replicas", []string{"replicas"}, whole, "Most replicas. Zero means the service's policy."},
		},
		columns: []column{
			{"SERVICE", []string{"service"}, nil},
			{"MEMORY", []string{"memory"}, nil},
			{"REMOTE", []string{"remote"}, duration},
			{"DISK", []string{"disk"}, duration},
			{"HOST", []string{"host"}, duration},
			{"REPLICAS", []string{"replicas"}, nil},
		},
	},
	{
		verb: "endpoint", help: "Model runners and instances of plain services.", kind: afobject.KindEndpoints,
		options: []option{
			{"service", []string{"service"}, text, "Service."},
			{"address", []string{"address"}, text, "IP address and port."},
			{"centre", []string{"centre"}, text, "Data centre."},
			{"memory", []string{"memory"}, whole, "Accelerator memory in MB."},
			{"accelerators", []string{"accelerators"}, whole, "Number of accelerators."},
			{"slots", []string{"slots"}, whole, "Requests that run at once."},
			{"fenced", []string{"fenced"}, flag, "The endpoint refuses orders with an old fencing number."},
			{"leaving", []string{"leaving"}, flag, "Send no new work."},
		},
		columns: []column{
			{"SERVICE", []string{"service"}, nil},
			{"ADDRESS", []string{"address"}, nil},
			{"CENTRE", []string{"centre"}, nil},
			{"MEMORY", []string{"memory"}, nil},
			{"SLOTS", []string{"slots"}, nil},
			{"FENCED", []string{"fenced"}, yes},
			{"LEAVING", []string{"leaving"}, yes},
		},
	},
}
