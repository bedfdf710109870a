package afroute

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections that one endpoint accepts from all VMs together. Zero means unknown.
	MaxConnections int
	// Engine describes the model engines of the service. It is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of one service, which are all alike.
type EngineSpec struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for prompts and running requests, in tokens.
	CacheTokens int64
	// MemoryMB bounds the models and adapters that one engine holds together, in MB.
	MemoryMB float64
	// AdapterSlots bounds the adapters that one engine holds.
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows for all engines together.
	LoadsPerSecond float64
	// Models are the models that the service may offer, by name.
	Models map[string]Model
}

// Model describes the cost of a model's weights.
type Model struct {
	Name string
	// SizeMB is in MB.
	SizeMB float64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the times to load the weights from the weight store, the engine's disk and its memory.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	// AdapterCount is the number of adapters, and AdapterSizeMB the size of one in MB.
	AdapterCount  int
	AdapterSizeMB float64
}

// Customer is one customer with its limit.
type Customer struct {
	Name string
	// Priority overrides the rank of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond is in units per second and Burst in units. A zero rate means no limit.
	RatePerSecond, Burst int64
	// CountsTokens means that the unit is a token, and DefaultTokenCost what a request without a token count costs. Otherwise the
	// unit is a request.
	CountsTokens     bool
	DefaultTokenCost int64
}

// Limits bound what a caller may send. Zero values mean the entry's own defaults.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time for the headers, IdleTimeout the time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable after NewTable.
type Table struct {
	// Version rises with each configuration.
	Version int64
	// Limits apply to all callers.
	Limits Limits

	// hosts holds the routes of each host, the longest prefix first.
	hosts     map[string][]Route
	services  map[string]Service
	customers map[string]Customer
	// keys maps the digest of a key to the name of its customer.
	keys map[string]string
}

// NewTable returns a table. Keys maps each key in clear text to the name of its customer; the table keeps digests only.
func NewTable(version int64, limits Limits, routes []Route, services []Service, customers []Customer, keys map[string]string) *Table {
	t := &Table{
		Version: version, Limits: limits,
		hosts: make(map[string][]Route), services: make(map[string]Service, len(services)),
		customers: make(map[string]Customer, len(customers)), keys: make(map[string]string, len(keys)),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, c := range customers {
		t.customers[c.Name] = c
	}
	for key, customer := range keys {
		t.keys[digest(key)] = customer
	}
	return t
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchRoute returns the route with the longest prefix of the path on the host. The host may carry a port.
func (t *Table) MatchRoute(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RequiresKey reports whether requests need a key on routes that are not public.
func (t *Table) RequiresKey() bool { return len(t.customers) > 0 }

// CustomerByKey returns the customer that a key belongs to.
func (t *Table) CustomerByKey(key string) (Customer, bool) {
	name, ok := t.keys[digest(key)]
	if !ok {
		return Customer{}, false
	}
	c, ok := t.customers[name]
	return c, ok
}

// Customer returns a customer by name.
func (t *Table) Customer(name string) (Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}

// Customers returns the customers in order of name.
func (t *Table) Customers() []Customer {
	return slices.SortedFunc(maps.Values(t.customers), func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services in order of name.
func (t *Table) Services() []Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
