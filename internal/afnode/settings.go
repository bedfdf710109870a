package afnode

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/internal/afgateway"
	"arbutusfork.example/arbutusfork/pkg/afcheck"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Settings are the validated settings of one VM.
type Settings struct {
	// VM is the name of the VM and Centre the name of its data centre.
	VM, Centre string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the listen addresses for callers, readiness checks,
	// other VMs and metrics. Each is an IP address and port.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// PlatformURL is the base URL of the object API.
	PlatformURL string
	// MaxDescriptors bounds the number of open files and connections of the process. Zero means unknown.
	MaxDescriptors int
	// MemoryLimitMB bounds the memory of the process in MB. Zero means unknown.
	MemoryLimitMB float64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s. Zero means unknown.
	LinkMbps float64
	// GracePeriod is the longest time between the request to stop and the end of the process.
	GracePeriod time.Duration
	// QuietPeriod is the time within which an endpoint must not get orders from two placement holders.
	QuietPeriod time.Duration
	// EvacuationTime is the time after which an evacuation must be in force. Zero means that the deployment has no evacuations.
	EvacuationTime time.Duration
	// RetryBudgetRatio is the number of retries that each service may have per request, over all VMs.
	// RetryBudgetExtra is the number of retries that are allowed in addition in each window.
	RetryBudgetRatio, RetryBudgetExtra float64
	// RetryBudgetWindow is the time over which requests and retries are counted.
	RetryBudgetWindow time.Duration
	// ColdOver and ColdSlack bound the requests to a cold endpoint in any second, see afwarm.Rule.
	ColdOver, ColdSlack float64
	// Region is the region of the VM, and RegionsByCentre holds that of each data centre. Both may be missing.
	Region          string
	RegionsByCentre map[string]string
}

// regionOf returns the region of a data centre, or an empty string if it is not known. That of the VM's own one is its region, unless
// RegionsByCentre names another.
func (s *Settings) regionOf(centre string) string {
	if region, ok := s.RegionsByCentre[centre]; ok {
		return region
	}
	if centre == s.Centre {
		return s.Region
	}
	return ""
}

// Platform holds the functions and names by which the node communicates with the platform and the endpoints.
type Platform struct {
	// ReadSettings reads the current settings.
	ReadSettings func() (Settings, error)
	// Dialect is the variant of the object API that the platform uses.
	Dialect afobject.Dialect
	// ConfigKind and ConfigName identify the object with the configuration. EndpointKind is the kind of the endpoints'
	// entries.
	ConfigKind, ConfigName, EndpointKind string
	// EvacuationKind is the kind of the objects that evacuate the data centres of their names.
	EvacuationKind string
	// DecodeTable decodes the content of the object with the configuration.
	DecodeTable func(spec []byte) (*afroute.Table, error)
	// DescribeConfiguration returns the content of the object with the configuration in a form without secrets.
	DescribeConfiguration func(spec []byte) (afcheck.Description, error)
	// DecodeEndpointEntry decodes the content of an endpoint's entry.
	DecodeEndpointEntry func(id string, spec []byte) (afengine.EndpointEntry, error)
	// HeaderCodec translates the headers of callers and endpoints.
	HeaderCodec afgateway.HeaderCodec
	// FetchReport requests the report of an engine.
	FetchReport func(ctx context.Context, e afengine.EndpointEntry) (afengine.Report, error)
	// SendOrder sends an order of the placement holder to an engine.
	SendOrder func(ctx context.Context, e afengine.EndpointEntry, holder string, epoch int64, o afengine.Order) afengine.Result
	// WatchEngines sets the function that is called with what engines say about themselves in answers to FetchReport and
	// SendOrder. It is called before both. Nil means that engines say nothing.
	WatchEngines func(record func(e afengine.EndpointStart, said afnotice.Statement))
}
