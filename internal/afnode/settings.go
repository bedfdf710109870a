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
	// Callers, Ready, Peers and Metrics are listen addresses, each an IP address and port. Other VMs reach this one at
	// Peers.
	Callers, Ready, Peers, Metrics string
	// Platform is the base URL of the object API.
	Platform string
	// Descriptors bounds the open files and connections of the process, and MemoryMB its memory. Zero means unknown.
	Descriptors int
	MemoryMB    float64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s. Zero means unknown.
	LinkMbps float64
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// Quiet is the time for which an endpoint must not get orders of two holders.
	Quiet time.Duration
	// RepeatRatio, RepeatExtra and RepeatWindow bound second sends of each service over all VMs.
	RepeatRatio, RepeatExtra float64
	RepeatWindow             time.Duration
}

// Platform is how the node speaks with the platform and the endpoints.
type Platform struct {
	// Settings reads the settings again after a signal.
	Settings func() (Settings, error)
	// Dialect is the form of the object API.
	Dialect afobject.Dialect
	// ConfigKind and ConfigName name the object with the configuration, EndpointKind the endpoints' entries.
	ConfigKind, ConfigName, EndpointKind string
	// Table and Entry translate the content of these objects.
	Table func(spec []byte) (*afroute.Table, error)
	Entry func(id string, spec []byte) (afengine.EndpointEntry, error)
	// Wire translates headers.
	Wire afgateway.HeaderCodec
	// Report asks an engine about itself, and Order gives it an order.
	Report func(ctx context.Context, e afengine.EndpointEntry) (afengine.Report, error)
	Order  func(ctx context.Context, e afengine.EndpointEntry, holder string, epoch int64, o afengine.Order) afengine.Result
}
