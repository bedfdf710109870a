// Package afobject is a client of the platform's object API, with versioned objects, conditional writes and watches.
package afobject

import "encoding/json"

// The kinds of objects. Each value is the path segment of its kind.
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

// Object is one versioned object of the platform.
type Object struct {
	// Kind is one of the Kind constants.
	Kind string
	// Name identifies the object within its kind.
	Name string
	// Version is the collection version at which the object last changed. Zero means that it is not stored yet.
	Version int64
	// Spec is the content of the object as JSON.
	Spec json.RawMessage
}

// Event is a change reported by a watch, or a bookmark, which reports the version that the watch has reached. The
// object of a bookmark has neither name nor spec.
type Event struct {
	Type   EventType
	Object Object
}

//go:generate stringer -type=EventType -linecomment -output=object_string.go

// EventType is the kind of change to an object, or Bookmark.
type EventType int

// The types of events.
const (
	Added    EventType = iota // ADDED
	Modified                  // MODIFIED
	Deleted                   // DELETED
	Bookmark                  // BOOKMARK
)

// ConfigurationPath is the path segment for lists and watches of all configuration kinds together. The version of
// such a list is the version of the latest change to an object of any of these kinds, deletions included.
const ConfigurationPath = "configuration"

// IsConfigurationKind reports whether the kind belongs to the configuration collection.
func IsConfigurationKind(kind string) bool {
	switch kind {
	case KindCustomers, KindKeys, KindServices, KindRoutes, KindModels, KindEndpoints, KindSheets, KindWitnesses:
		return true
	}
	return false
}
