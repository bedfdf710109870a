package afsync_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
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

// fleet is a platform and some VMs on an in-memory network. Its methods run in a synctest bubble.
type fleet struct {
	*testing.T
	network  afstandin.Network
	platform afstandin.Platform
	vms      map[string]*vm
	starts   int64
}

type vm struct {
	sync  *afsync.Service
	peer  *afpeer.Service
	timer *aftimer.Service
	stop  func()
}

// run starts a fleet of n VMs and waits until its witness set is complete.
func run(t *testing.T, n int, fn func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, vms: make(map[string]*vm)}
		f.platform.BookmarkInterval = time.Hour
		l, err := f.network.Listen(platformAddress)
		require.NoError(t, err)
		server := &http.Server{Handler: f.platform.Handler()}
		go func() { _ = server.Serve(l) }()
		for i := range n {
			f.list(name(i), "live")
		}
		for i := range n {
			f.start(name(i))
		}
		f.pass(time.Duration(4*n+4) * time.Second)
		require.Len(t, f.vms[name(0)].sync.Snapshot().Witnesses().VMs, min(n, 7))
		fn(f)
		for _, v := range f.vms {
			v.stop()
		}
		require.NoError(t, server.Close())
	})
}

func name(i int) string { return fmt.Sprintf("vm%d", i) }

func (f *fleet) list(name, state string) {
	_, err := f.platform.PutObject(afobject.KindVMs, name, map[string]string{
		"address": name, "datacentre": "c", "state": state,
	})
	require.NoError(f, err)
}

func (f *fleet) start(name string) *vm {
	f.starts++
	timer := new(aftimer.Service)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return f.network.Dial(ctx, name, platformAddress)
	}}
	self := arbutusfork.Incarnation{VM: name, StartID: f.starts}
	log := slog.New(slog.DiscardHandler)
	v := &vm{
		timer: timer,
		sync: &afsync.Service{
			Self: self, Timer: timer, Log: log,
			Client: &afobject.Client{
				BaseURL: "http://" + platformAddress, HTTPClient: &http.Client{Transport: transport},
				WatchIdleTimeout: time.Hour, // Only the probes find silent watches.
			},
		},
		peer: &afpeer.Service{
			Self: self, ListenAddress: name, Centre: "c", Seeds: []string{"vm0", "vm1"}, Timer: timer, Log: log,
			Transport: f.network.Transport(name),
		},
	}
	v.sync.ConnectPeers(v.peer)
	ctx, cancel := context.WithCancel(f.Context())
	var duties sync.WaitGroup
	duties.Go(func() { timer.Run(ctx) })
	duties.Go(func() { _ = v.peer.Run(ctx) })
	duties.Go(func() { _ = v.sync.Run(ctx) })
	v.stop = func() {
		cancel()
		duties.Wait()
		transport.CloseIdleConnections()
	}
	f.vms[name] = v
	return v
}

// kill ends a VM without a word. Its memory is lost.
func (f *fleet) kill(name string) {
	f.vms[name].stop()
	delete(f.vms, name)
}

// pass lets the bubble's clock pass.
func (f *fleet) pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// isolate cuts a VM off from all other VMs.
func (f *fleet) isolate(name string) {
	for other := range f.vms {
		if other != name {
			f.network.CutLink(name, other)
		}
	}
}

func (f *fleet) heal(name string) {
	for other := range f.vms {
		f.network.RestoreLink(name, other)
	}
}

func (f *fleet) change(key string) int64 {
	v, err := f.platform.PutObject(afobject.KindCustomers, key, arbutusfork.Customer{Name: key})
	require.NoError(f, err)
	return v
}

func (f *fleet) fresh(name string) bool {
	v := f.vms[name]
	return v.sync.IsFresh(v.timer.Now())
}
