package afverb

import (
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// resource defines the verbs of one kind of object.
type resource struct {
	// name is the command that groups the verbs.
	name    string
	help    string
	kind    string
	options []option
	columns []column
	// omittedVerbs holds the verbs "set" or "rm" that the kind does not have.
	omittedVerbs []string
}

// option is a flag of a set verb that writes one field of the spec.
type option struct {
	flagName  string
	fieldPath []string // fieldPath holds the names of the nested objects and of the field.
	parse     func(text string) (any, error)
	help      string
}

// column is a column of a list that shows one field of the spec.
type column struct {
	title     string
	fieldPath []string
	format    func(v any) string // format formats the field. Nil means formatValue.
}

// resources holds the kinds of objects in the order of the help text.
var resources = []resource{
	{
		name: "customer", help: "Customers and their limits.", kind: afobject.KindCustomers,
		options: []option{
			{"rate", []string{"rate"}, parseInteger, "Sustained tokens per second over all VMs."},
			{"burst", []string{"burst"}, parseInteger, "Bucket capacity in tokens over all VMs."},
			{"weight", []string{"weight"}, parseNumber, "Share in fair queuing. Zero means proportional to the rate."},
		},
		columns: []column{{"RATE", []string{"rate"}, nil}, {"BURST", []string{"burst"}, nil}, {"WEIGHT", []string{"weight"}, nil}},
	},
	{
		name: "key", help: "Callers' keys.", kind: afobject.KindKeys, omittedVerbs: []string{"set"},
		columns: []column{{"CUSTOMER", []string{"customer"}, nil}, {"WITHDRAWN", []string{"withdrawn"}, formatBool}},
	},
	{
		name: "route", help: "Routes from callers' paths to services.", kind: afobject.KindRoutes,
		options: []option{
			{"path", []string{"path"}, parseText, "Path prefix. Empty for a model service."},
			{"service", []string{"service"}, parseText, "Service."},
			{"open", []string{"open"}, parseBool, "Admit requests without a key."},
			{"once", []string{"once"}, parseBool, "Run calls at most once."},
			{"customers", []string{"customers"}, parseTexts, "Customers that may use the route, separated by commas. Empty means all."},
			{"models", []string{"models"}, parseTexts, "Models that the route offers, separated by commas. Empty means all."},
			{"deadline", []string{"deadline"}, parseMillis, "Default time to the first byte, such as 30s."},
			{"tokens", []string{"tokens"}, parseInteger, "Default bound on generated tokens."},
		},
		columns: []column{
			{"PATH", []string{"path"}, nil},
			{"SERVICE", []string{"service"}, nil},
			{"OPEN", []string{"open"}, formatBool},
			{"ONCE", []string{"once"}, formatBool},
			{"CUSTOMERS", []string{"customers"}, formatNames},
			{"MODELS", []string{"models"}, formatCount},
			{"DEADLINE", []string{"deadline"}, formatMillis},
		},
	},
	{
		name: "service", help: "Groups of endpoints.", kind: afobject.KindServices, omittedVerbs: []string{"rm"},
		options: []option{
			{"kind", []string{"kind"}, parseServiceKind, "model or plain."},
			{"loads", []string{"loads"}, parseNumber, "Weight store budget in loads per second. Zero means unlimited."},
			{"parallel", []string{"parallel"}, parseInteger, "Loads at once at full speed. Zero means unlimited."},
			{"cold", []string{"policy", "cold"}, parseNumber, "Cost of a second of cold-start wait."},
			{"idle", []string{"policy", "idle"}, parseNumber, "Cost of an idle accelerator-second."},
			{"replicas", []string{"policy", "replicas"}, parseInteger, "Most replicas of one model. Zero means one."},
		},
		columns: []column{
			{"KIND", []string{"kind"}, formatServiceKind},
			{"LOADS/S", []string{"loads"}, nil},
			{"PARALLEL", []string{"parallel"}, nil},
			{"COLD", []string{"policy", "cold"}, nil},
			{"IDLE", []string{"policy", "idle"}, nil},
			{"REPLICAS", []string{"policy", "replicas"}, nil},
		},
	},
	{
		name: "model", help: "Models and adapters.", kind: afobject.KindModels,
		options: []option{
			{"service", []string{"service"}, parseText, "Service."},
			{"memory", []string{"memory"}, parseInteger, "Accelerator memory of a replica in MB."},
			{"remote", []string{"remote"}, parseMillis, "Load time from the weight store, such as 90s."},
			{"disk", []string{"disk"}, parseMillis, "Load time from the endpoint's disk."},
			{"host", []string{"host"}, parseMillis, "Load time from the endpoint's memory."},
			{"replicas", []string{"replicas"}, parseInteger, "Most replicas. Zero means the service's policy."},
		},
		columns: []column{
			{"SERVICE", []string{"service"}, nil},
			{"MEMORY", []string{"memory"}, nil},
			{"REMOTE", []string{"remote"}, formatMillis},
			{"DISK", []string{"disk"}, formatMillis},
			{"HOST", []string{"host"}, formatMillis},
			{"REPLICAS", []string{"replicas"}, nil},
		},
	},
	{
		name: "endpoint", help: "Model runners and instances of plain services.", kind: afobject.KindEndpoints,
		options: []option{
			{"service", []string{"service"}, parseText, "Service."},
			{"address", []string{"address"}, parseText, "IP address and port."},
			{"centre", []string{"centre"}, parseText, "Data centre."},
			{"memory", []string{"memory"}, parseInteger, "Accelerator memory in MB."},
			{"accelerators", []string{"accelerators"}, parseInteger, "Number of accelerators."},
			{"slots", []string{"slots"}, parseInteger, "Requests that run at once."},
			{"fenced", []string{"fenced"}, parseBool, "The endpoint refuses orders with an old fencing number."},
			{"leaving", []string{"leaving"}, parseBool, "Send no new work."},
		},
		columns: []column{
			{"SERVICE", []string{"service"}, nil},
			{"ADDRESS", []string{"address"}, nil},
			{"CENTRE", []string{"centre"}, nil},
			{"MEMORY", []string{"memory"}, nil},
			{"SLOTS", []string{"slots"}, nil},
			{"FENCED", []string{"fenced"}, formatBool},
			{"LEAVING", []string{"leaving"}, formatBool},
		},
	},
}
