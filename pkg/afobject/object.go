// Package afobject is a client of the platform's object API: versions, conditional updates and watches.
package afobject

import "encoding/json"

// The kinds of objects, in the plural form of their paths.
const (
	KindCustomers = "customers"
	KindKeys      = "keys"
	KindServices  = "services"
	KindRoutes    = "routes"
	KindModels    = "models"
	KindEndpoints = "endpoints"
	KindSheets    = "sheets"
	KindWitnesses = "witnesses"
	KindShards    = "shards"
	KindShares    = "shares"
	KindClaims    = "claims"
	KindVMs       = "vms"
)

// Object is one versioned object.
type Object struct {
	Kind string
	Name string
	// Version is the collection version at which the object last changed. Zero means that it does not exist yet.
	Version int64
	Spec    json.RawMessage
}

// Event is one change that a watch reports. A bookmark has an empty object but for its version.
type Event struct {
	Type   EventType
	Object Object
}

//go:generate stringer -type=EventType -linecomment -output=object_string.go

// EventType tells what happened to an object.
type EventType int

// The types of events.
const (
	Added    EventType = iota // ADDED
	Modified                  // MODIFIED
	Deleted                   // DELETED
	Bookmark                  // BOOKMARK
)

// ConfigurationPath is the plural that stands for all configuration kinds together in lists and watches. The
// version of that list is the version of the latest change to any of them, deletions included.
const ConfigurationPath = "configuration"

// IsConfigurationKind reports whether objects of the kind are part of the configuration.
func IsConfigurationKind(kind string) bool {
	switch kind {
	case KindCustomers, KindKeys, KindServices, KindRoutes, KindModels, KindEndpoints, KindSheets, KindWitnesses:
		return true
	}
	return false
}
