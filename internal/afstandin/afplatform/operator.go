package afplatform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Route is a route as the operator writes it. Kind is safe, unsafe or streaming.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	Attempts                          int
	Timeout                           time.Duration
	Resumable                         bool
}

// Customer is a customer with its keys and its limit in tokens.
type Customer struct {
	Name        string
	Keys        []string
	Rate, Burst int
	// Plain is what a request without a token count costs.
	Plain int
}

// Config is what the operator writes. Models maps the models of the service Engines to their sizes in MB.
type Config struct {
	Version        int64
	Routes         []Route
	Plain, Engines string
	Models         map[string]float64
	Memory         float64
	Load           time.Duration
	Customers      []Customer
	// Slots is the number of requests that an engine runs at once. Zero means 64.
	Slots int
}

// Spec returns the configuration in the form of the store.
func (c Config) Spec() map[string]any {
	var routes, models, customers []any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "route-type": r.Kind, "timeout-ms": r.Timeout.Milliseconds(),
			"target-latency-ms": 500, "priority": 1, "service": r.Service, "max-attempts": r.Attempts, "resumable": r.Resumable,
			"gap-aim-ms": 250, "sticky": r.Resumable,
		})
	}
	for name, size := range c.Models {
		s := c.Load.Seconds()
		models = append(models, map[string]any{"name": name, "weights-mb": size, "load-s": s, "disk-s": s, "warm-s": s})
	}
	for _, x := range c.Customers {
		customers = append(customers, map[string]any{
			"name": x.Name, "api-keys": x.Keys, "unit": "tokens", "plain-tokens": x.Plain, "rate-per-s": x.Rate, "burst": x.Burst,
		})
	}
	return map[string]any{
		"version": c.Version, "routes": routes, "tenants": customers,
		"services": []any{
			map[string]any{"name": c.Plain, "health-check": "/health", "max-connections": 500},
			map[string]any{"name": c.Engines, "health-check": "/health", "max-connections": 500, "engine": map[string]any{
				"slots": cmp.Or(c.Slots, 64), "kv-capacity": 100000, "weights-mb": c.Memory, "adapter-slots": 4, "loads-per-s": 20, "models": models,
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// Settings is what the platform tells a VM.
type Settings struct {
	VM, IP, Centre, Store string
	Grace, Quiet          time.Duration
	// Descriptors bounds the VM's open files. Zero means 4,096.
	Descriptors int
}

// The ports of a VM.
const (
	CallersPort = ":8221"
	ReadyPort   = ":8224"
)

// SettingsVariable names the settings file in a daemon's environment.
const SettingsVariable = "ARBUTUSFORK_CONFIG"

// File returns the content of the settings file.
func (s Settings) File() ([]byte, error) {
	return json.Marshal(map[string]any{
		"node-name": s.VM, "ip": s.IP, "zone": s.Centre, "internal-ports": []int{7600, 7615},
		"listen":   map[string]any{"front": s.IP + CallersPort, "ready": s.IP + ReadyPort},
		"platform": map[string]any{"address": s.Store}, "limits": map[string]any{"max-fds": cmp.Or(s.Descriptors, 4096), "link-mbps": 1000},
		"bounds": map[string]any{
			"grace-s": s.Grace.Seconds(), "lease-ms": s.Quiet.Milliseconds(), "budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 60,
		},
	})
}

// Call is what a caller says in its headers. Model is empty for plain services.
type Call struct {
	ID, Key, Model string
	Patience       time.Duration
	Prompt, Output int
}

// Write sets the headers.
func (c Call) Write(h http.Header) {
	h.Set(headerID, c.ID)
	h.Set("Authorization", "Bearer "+c.Key)
	h.Set("X-Arbutusfork-Deadline-Ms", strconv.FormatInt(c.Patience.Milliseconds(), 10))
	if c.Model != "" {
		h.Set(headerModel, c.Model)
		h.Set("X-Arbutusfork-Token-Usage", strconv.Itoa(c.Prompt)+","+strconv.Itoa(c.Output))
	}
}

// Signed reports whether an answer bears an endpoint's signature.
func Signed(h http.Header) bool { return h.Get(headerSigned) != "" }
