package afnode

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/internal/afgateway"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Settings are the validated settings of one VM.
type Settings struct {
	// VM is the VM's name, Centre its data centre.
	VM, Centre string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are listen addresses, each an IP address and port.
	// Other VMs reach this one at PeerAddress.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// PlatformURL is the base URL of the object API.
	PlatformURL string
	// MaxDescriptors bounds the open files and connections of the process, and MemoryLimitMB its memory. Zero means unknown.
	MaxDescriptors int
	MemoryLimitMB  float64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s. Zero means unknown.
	LinkMbps float64
	// GracePeriod is the time between the request to stop and the end of the process.
	GracePeriod time.Duration
	// QuietPeriod is the time for which an endpoint must not get orders of two holders.
	QuietPeriod time.Duration
	// RetryBudgetRatio, RetryBudgetExtra and RetryBudgetWindow bound second sends of each service over all VMs.
	RetryBudgetRatio, RetryBudgetExtra float64
	RetryBudgetWindow                  time.Duration
}

// Platform is how the node speaks with the platform and the endpoints.
type Platform struct {
	// ReadSettings reads the settings again after a signal.
	ReadSettings func() (Settings, error)
	// Dialect is the form of the object API.
	Dialect afobject.Dialect
	// ConfigKind and ConfigName name the object with the configuration, EndpointKind the endpoints' entries.
	ConfigKind, ConfigName, EndpointKind string
	// ParseTable and ParseEntry translate the content of these objects.
	ParseTable func(spec []byte) (*afroute.Table, error)
	ParseEntry func(id string, spec []byte) (afengine.EndpointEntry, error)
	// HeaderFormat translates headers.
	HeaderFormat afgateway.HeaderCodec
	// FetchReport asks an engine about itself, and SendOrder gives it an order.
	FetchReport func(ctx context.Context, e afengine.EndpointEntry) (afengine.Report, error)
	SendOrder   func(ctx context.Context, e afengine.EndpointEntry, holder string, epoch int64, o afengine.Order) afengine.Result
}
