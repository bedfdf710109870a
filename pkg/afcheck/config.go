package afcheck

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Config is a configuration that the daemon accepts, with the entries in the order of the configuration.
type Config struct {
	Routes    []Route
	Services  []Service
	Customers []Customer
	// FieldName returns the name of a field in the configuration.
	FieldName func(Field) string
}

// Route is a route with its place in the configuration.
type Route struct {
	afroute.Route
	Place string
	// HasSplit means that the route lists services with weights instead of one service.
	HasSplit bool
}

// Service is a service with its place in the configuration.
type Service struct {
	afroute.Service
	Place string
	// Models are the models of the service's engines, with duplicates.
	Models []Model
	// ColdStartTime is the time after a start for which an endpoint is cold, and ColdRatePerSecond the rate that it gets then.
	// Zero means that it is not set.
	ColdStartTime     time.Duration
	ColdRatePerSecond float64
}

// Model is a model with its place in the configuration.
type Model struct {
	afroute.Model
	Place string
}

// Customer is a customer with its place in the configuration.
type Customer struct {
	afroute.Customer
	Place    string
	KeyCount int
}
