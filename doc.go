// Package arbutusfork holds the value types that the packages of a serving system for rarely used models share.
//
// The values are immutable: a With method returns a changed copy. The JSON form of the configuration types is the spec of
// the platform objects in which the configuration is stored.
package arbutusfork
