package afsync_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const platformAddress = "platform"

// fleet is a platform and VMs on an in-memory network. Its methods must be called in a synctest bubble.
type fleet struct {
	*testing.T
	network    afstandin.Network
	platform   afstandin.Platform
	serve      atomic.Pointer[http.Handler] // serve answers the VMs' requests to the platform.
	vms        map[string]*vm
	startCount int64
}

type vm struct {
	sync  *afsync.Service
	peer  *afpeer.Service
	timer *aftimer.Service
	stop  func()
}

// runFleet starts a fleet of n VMs, waits until its witness set is complete and calls fn.
func runFleet(t *testing.T, n int, fn func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, vms: make(map[string]*vm)}
		f.platform.BookmarkInterval = time.Hour
		l, err := f.network.Listen(platformAddress)
		require.NoError(t, err)
		handler := f.platform.Handler()
		f.serve.Store(&handler)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*f.serve.Load()).ServeHTTP(w, r) })}
		go func() { _ = server.Serve(l) }()
		for i := range n {
			f.putListedVM(vmName(i), "live")
		}
		for i := range n {
			f.startVM(vmName(i))
		}
		f.advanceTime(time.Duration(4*n+4) * time.Second)
		require.Len(t, f.vms[vmName(0)].sync.Snapshot().Witnesses().VMs, min(n, 7))
		fn(f)
		for _, v := range f.vms {
			v.stop()
		}
		require.NoError(t, server.Close())
	})
}

func vmName(i int) string { return fmt.Sprintf("vm%d", i) }

// putListedVM writes a VM to the platform's list of VMs.
func (f *fleet) putListedVM(name, state string) {
	_, err := f.platform.PutObject(afobject.KindVMs, name, map[string]string{
		"address": name, "datacentre": "c", "state": state,
	})
	require.NoError(f, err)
}

// startVM starts a new incarnation of a VM.
func (f *fleet) startVM(name string) *vm {
	f.startCount++
	timer := new(aftimer.Service)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return f.network.Dial(ctx, name, platformAddress)
	}}
	self := arbutusfork.Incarnation{VM: name, StartID: f.startCount}
	log := slog.New(slog.DiscardHandler)
	v := &vm{
		timer: timer,
		sync: &afsync.Service{
			Self: self, Timer: timer, Log: log,
			Client: &afobject.Client{
				BaseURL: "http://" + platformAddress, HTTPClient: &http.Client{Transport: transport},
				WatchIdleTimeout: time.Hour, // Stalled watches are detected by probes only.
			},
		},
		peer: &afpeer.Service{
			Self: self, ListenAddress: name, Centre: "c", Seeds: []string{"vm0", "vm1"}, Timer: timer, Log: log,
			Transport: f.network.Transport(name),
		},
	}
	v.sync.ConnectPeers(v.peer)
	ctx, cancel := context.WithCancel(f.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { timer.Run(ctx) })
	tasks.Go(func() { _ = v.peer.Run(ctx) })
	tasks.Go(func() { _ = v.sync.Run(ctx) })
	v.stop = func() {
		cancel()
		tasks.Wait()
		transport.CloseIdleConnections()
	}
	f.vms[name] = v
	return v
}

// killVM stops a VM without an announcement to the other VMs. Its state is lost.
func (f *fleet) killVM(name string) {
	f.vms[name].stop()
	delete(f.vms, name)
}

// advanceTime advances the clock of the synctest bubble and waits until all goroutines are blocked.
func (f *fleet) advanceTime(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// isolateVM cuts the links from a VM to all other VMs.
func (f *fleet) isolateVM(name string) {
	for other := range f.vms {
		if other != name {
			f.network.CutLink(name, other)
		}
	}
}

// reconnectVM restores the links between a VM and all other VMs.
func (f *fleet) reconnectVM(name string) {
	for other := range f.vms {
		f.network.RestoreLink(name, other)
	}
}

// putCustomer writes a customer on the platform and returns the configuration version of the change.
func (f *fleet) putCustomer(key string) int64 {
	v, err := f.platform.PutObject(afobject.KindCustomers, key, arbutusfork.Customer{Name: key})
	require.NoError(f, err)
	return v
}

func (f *fleet) isFresh(name string) bool {
	v := f.vms[name]
	return v.sync.IsFresh(v.timer.Now())
}
