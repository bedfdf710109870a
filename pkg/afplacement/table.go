// Package afplacement decides which replicas of which models are loaded where, and keeps the record of it.
package afplacement

import "time"

// Replica is a loaded copy of a model that requests may be sent to.
type Replica struct {
	Model    string `msgpack:"model"`
	Endpoint string `msgpack:"endpoint"`
	Address  string `msgpack:"address"`
	Centre   string `msgpack:"centre"`
	// Slots is the number of requests that the endpoint runs at once, over all VMs and models.
	Slots int `msgpack:"slots"`
	// Running is the endpoint's own report of running requests and lags behind.
	Running int `msgpack:"running"`
}

// Estimate is the owner's forecast for a model that is being loaded or queued for loading.
type Estimate struct {
	Model string `msgpack:"model"`
	// Ready is the remaining time until a replica can serve.
	Ready time.Duration `msgpack:"ready"`
}

// Table is the routing table of all shards as one VM knows it. It is immutable.
type Table struct {
	replicas  map[string][]Replica
	estimates map[string]time.Duration
}

// Replicas returns the loaded replicas of the model or adapter.
func (t *Table) Replicas(model string) []Replica {
	if t == nil {
		return nil
	}
	return t.replicas[model]
}

// Ready returns the estimated time until the model can serve, if the owner has published one.
func (t *Table) Ready(model string) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	d, ok := t.estimates[model]
	return d, ok
}
