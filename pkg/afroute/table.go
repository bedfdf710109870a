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

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections bounds the connections of all VMs together to one endpoint. Zero means unknown.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold endpoint takes from all VMs together. Zero means that its endpoints
	// are never cold.
	ColdPerSecond float64
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration
	// Engine describes the model engines of the service. It is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec is the capacity of each model engine of a service. All engines of a service are alike.
type EngineSpec struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the size of one engine's key-value cache, which holds prompts and running requests, in tokens.
	CacheTokens int64
	// MemoryMB bounds the total size of the models and adapters that one engine has loaded, in MB.
	MemoryMB float64
	// AdapterSlots bounds the adapters that one engine has loaded.
	AdapterSlots int
	// LoadsPerSecond is the rate at which the weight store can serve loads of models to all engines together.
	LoadsPerSecond float64
	// Models are the models that the service may offer, by name.
	Models map[string]Model
}

// Model holds the size of a model and the times to load it.
type Model struct {
	Name string
	// SizeMB is the size of the weights in MB.
	SizeMB float64
	// StoreLoadTime is the time to load the weights from the weight store.
	StoreLoadTime time.Duration
	// DiskLoadTime is the time to load the weights from the disk of the engine's host.
	DiskLoadTime time.Duration
	// MemoryLoadTime is the time to load the weights from the memory of the engine's host.
	MemoryLoadTime time.Duration
	// AdapterCount is the number of adapters of the model.
	AdapterCount int
	// AdapterSizeMB is the size of one adapter in MB.
	AdapterSizeMB float64
}

// Customer is one customer with its priority and its rate limit.
type Customer struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond is the limit in units per second. Zero means no limit.
	RatePerSecond int64
	// Burst is the size of the limit's token bucket in units.
	Burst int64
	// CountsTokens means that the unit of the limit is a token of a prompt or an output. Otherwise the unit is a request.
	CountsTokens bool
	// DefaultTokenCost is the cost of a request without token counts, if CountsTokens is set.
	DefaultTokenCost int64
	// AllowedRegions names the regions whose endpoints may get the customer's requests. Empty means all.
	AllowedRegions []string
}

// Limits bound what callers may send. A zero value means the default of the listener.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// HeaderTimeout bounds the time to receive the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable after NewTable.
type Table struct {
	// Version increases with each new configuration.
	Version int64
	// Limits apply to all callers.
	Limits Limits
	// HasColdEndpoints means that a service has a positive ColdPerSecond.
	HasColdEndpoints bool

	// routesByHost holds the routes of each host in lower case, sorted by descending length of the prefix.
	routesByHost map[string][]Route
	services     map[string]Service
	customers    map[string]Customer
	// customersByKeyDigest maps the SHA-256 digest of a key to the name of its customer.
	customersByKeyDigest map[string]string
}

// NewTable returns a table. Keys maps each key in clear text to the name of its customer. The table keeps only digests of
// the keys.
func NewTable(version int64, limits Limits, routes []Route, services []Service, customers []Customer, keys map[string]string) *Table {
	t := &Table{
		Version: version, Limits: limits,
		routesByHost: make(map[string][]Route), services: make(map[string]Service, len(services)),
		customers: make(map[string]Customer, len(customers)), customersByKeyDigest: make(map[string]string, len(keys)),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
		t.HasColdEndpoints = t.HasColdEndpoints || s.ColdPerSecond > 0
	}
	for _, c := range customers {
		t.customers[c.Name] = c
	}
	for key, customer := range keys {
		t.customersByKeyDigest[hashKey(key)] = customer
	}
	return t
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchRoute returns the route of the host whose prefix is the longest prefix of the path. The host may include a port.
func (t *Table) MatchRoute(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RequiresKey reports whether requests need a key on routes that are not public, which is so if there are customers.
func (t *Table) RequiresKey() bool { return len(t.customers) > 0 }

// CustomerByKey returns the customer to which a key belongs.
func (t *Table) CustomerByKey(key string) (Customer, bool) {
	name, ok := t.customersByKeyDigest[hashKey(key)]
	if !ok {
		return Customer{}, false
	}
	c, ok := t.customers[name]
	return c, ok
}

// Customer returns the customer with a name.
func (t *Table) Customer(name string) (Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}

// Customers returns the customers, sorted by name.
func (t *Table) Customers() []Customer {
	return slices.SortedFunc(maps.Values(t.customers), func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services, sorted by name.
func (t *Table) Services() []Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

// RouteCount returns the number of routes of all hosts.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routesByHost {
		n += len(list)
	}
	return n
}
