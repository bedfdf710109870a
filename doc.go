// Package arbutusfork holds the core value types of a serving system for rarely used models.
//
// The coordination parts under pkg/ and the daemon's slices under internal/ share these types. They are
// plain immutable values: a changed copy comes from a With method. Their JSON form is the spec of the
// platform objects that hold the configuration.
package arbutusfork
