package afplatform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Route is a route as the operator writes it. Kind is safe, unsafe or streaming.
type Route struct {
	Name, Host, PathPrefix, Kind, Service string
	MaxAttempts                           int
	Timeout                               time.Duration
	IsResumable                           bool
}

// Customer is a customer with its keys and its limit in tokens.
type Customer struct {
	Name                         string
	APIKeys                      []string
	TokensPerSecond, BurstTokens int
	// PlainRequestTokens is what a request without a token count costs.
	PlainRequestTokens int
}

// Config is what the operator writes. Models maps the models of the service Engines to their sizes in MB.
type Config struct {
	Version                     int64
	Routes                      []Route
	PlainService, EngineService string
	ModelSizes                  map[string]float64
	EngineMemoryMB              float64
	ModelLoadTime               time.Duration
	Customers                   []Customer
	// EngineSlots is the number of requests that an engine runs at once. Zero means 64.
	EngineSlots int
	// MaxBodyBytes bounds the bodies of requests. Zero means 1 MiB.
	MaxBodyBytes int
}

// Spec returns the configuration in the form of the store.
func (c Config) Spec() map[string]any {
	var routes, models, customers []any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.PathPrefix, "route-type": r.Kind, "timeout-ms": r.Timeout.Milliseconds(),
			"target-latency-ms": 500, "priority": 1, "service": r.Service, "max-attempts": r.MaxAttempts, "resumable": r.IsResumable,
			"gap-aim-ms": 250, "sticky": r.IsResumable,
		})
	}
	for name, size := range c.ModelSizes {
		s := c.ModelLoadTime.Seconds()
		models = append(models, map[string]any{"name": name, "weights-mb": size, "load-s": s, "disk-s": s, "warm-s": s})
	}
	for _, x := range c.Customers {
		customers = append(customers, map[string]any{
			"name": x.Name, "api-keys": x.APIKeys, "unit": "tokens", "plain-tokens": x.PlainRequestTokens, "rate-per-s": x.TokensPerSecond, "burst": x.BurstTokens,
		})
	}
	return map[string]any{
		"version": c.Version, "routes": routes, "tenants": customers,
		"services": []any{
			map[string]any{"name": c.PlainService, "health-check": "/health", "max-connections": 500},
			map[string]any{"name": c.EngineService, "health-check": "/health", "max-connections": 500, "engine": map[string]any{
				"slots": cmp.Or(c.EngineSlots, 64), "kv-capacity": 100000, "weights-mb": c.EngineMemoryMB, "adapter-slots": 4, "loads-per-s": 20, "models": models,
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": cmp.Or(c.MaxBodyBytes, 1<<20), "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// Settings is what the platform tells a VM.
type Settings struct {
	VM, IP, Centre, StoreAddress string
	GracePeriod, LeaseDuration   time.Duration
	// MaxOpenFiles bounds the VM's open files. Zero means 4,096.
	MaxOpenFiles int
	// ExtraRetries is the number of retries that each window of the retry budget allows in addition. Zero means 60.
	ExtraRetries int
	// MemoryMB is the memory that the VM may use. Zero means that the settings name none.
	MemoryMB int
}

// The ports of a VM.
const (
	CallersPort = ":8221"
	ReadyPort   = ":8224"
)

// SettingsVariable names the settings file in a daemon's environment.
const SettingsVariable = "ARBUTUSFORK_CONFIG"

// EncodeFile returns the content of the settings file.
func (s Settings) EncodeFile() ([]byte, error) {
	limits := map[string]any{"max-fds": cmp.Or(s.MaxOpenFiles, 4096), "link-mbps": 1000}
	if s.MemoryMB > 0 {
		limits["memory-mb"] = s.MemoryMB
	}
	return json.Marshal(map[string]any{
		"node-name": s.VM, "ip": s.IP, "zone": s.Centre, "internal-ports": []int{7600, 7615},
		"listen":   map[string]any{"front": s.IP + CallersPort, "ready": s.IP + ReadyPort},
		"platform": map[string]any{"address": s.StoreAddress}, "limits": limits,
		"bounds": map[string]any{
			"grace-s": s.GracePeriod.Seconds(), "lease-ms": s.LeaseDuration.Milliseconds(), "budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": cmp.Or(s.ExtraRetries, 60),
		},
	})
}

// RequestHeaders is what a caller says in its headers. Model is empty for plain services.
type RequestHeaders struct {
	RequestID, APIKey, Model   string
	Timeout                    time.Duration
	PromptTokens, OutputTokens int
	// PromptParts are the IDs of the parts of the prompt, or empty.
	PromptParts []string
}

// SetOn sets the headers.
func (c RequestHeaders) SetOn(h http.Header) {
	h.Set(headerID, c.RequestID)
	h.Set("Authorization", "Bearer "+c.APIKey)
	h.Set("X-Arbutusfork-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.Model != "" {
		h.Set(headerModel, c.Model)
		h.Set("X-Arbutusfork-Token-Usage", strconv.Itoa(c.PromptTokens)+","+strconv.Itoa(c.OutputTokens))
		parts := make([]string, len(c.PromptParts))
		for i, id := range c.PromptParts {
			parts[i] = id + ":" + strconv.Itoa(c.PromptTokens/len(parts))
		}
		h.Set(headerParts, strings.Join(parts, ","))
	}
}

// HasSignature reports whether an answer bears an endpoint's signature.
func HasSignature(h http.Header) bool { return h.Get(headerSigned) != "" }
