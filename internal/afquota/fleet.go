package afquota

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/vmihailenco/msgpack/v5"
)

// fleet runs the services of several VMs in one goroutine over a platform in memory, for measurements. Messages and
// platform calls take no time, so that a run is a function of its seed.
type fleet struct {
	customers map[string]arbutusfork.Customer
	timer     *aftimer.Service
	now       time.Time
	members   []arbutusfork.VM
	vms       map[string]*Service // vms holds the running ones.
	gone      map[arbutusfork.Incarnation]bool
	objects   map[string]afobject.Object
	version   int64
	starts    int64
	waited    time.Duration // waited is how long the last call wanted to pause.
	messages  int64
	reads     int64
	lost      func() bool // lost draws whether the next message, answer or platform answer is lost. Nil means never.
}

func newFleet(n int, customers ...arbutusfork.Customer) *fleet {
	f := &fleet{
		customers: make(map[string]arbutusfork.Customer), timer: &aftimer.Service{}, now: time.Unix(0, 0),
		vms: make(map[string]*Service), gone: make(map[arbutusfork.Incarnation]bool), objects: make(map[string]afobject.Object),
	}
	f.timer.Advance(f.now)
	for _, c := range customers {
		f.customers[c.Name] = c
	}
	for i := range n {
		f.boot("vm" + strconv.Itoa(i))
	}
	return f
}

// boot starts a VM, which is not in the platform's list.
func (f *fleet) boot(vm string) *Service {
	f.starts++
	s := &Service{
		Self: arbutusfork.Incarnation{VM: vm, Start: f.starts}, Timer: f.timer, Log: slog.New(slog.DiscardHandler),
		Customer: func(name string) (arbutusfork.Customer, bool) { c, ok := f.customers[name]; return c, ok },
		Customers: func() (out []arbutusfork.Customer) {
			for _, c := range f.customers {
				out = append(out, c)
			}
			return out
		},
		Members:   func() []arbutusfork.VM { return f.members },
		GetObject: f.get, CreateObject: f.put, UpdateObject: f.put,
		IsGone: func(i arbutusfork.Incarnation) bool { return f.gone[i] },
		spawn:  func(fn func()) { fn() },
		sleep:  func(d time.Duration) { f.waited = d },
	}
	s.CallPeer = func(_ context.Context, to, kind string, message, answer any) error {
		return f.call(s.Self, to, kind, message, answer)
	}
	f.vms[vm] = s
	f.members = append(f.members, arbutusfork.VM{Name: vm})
	return s
}

// kill ends a VM without notice. The platform's list does not say so before delist.
func (f *fleet) kill(vm string) { delete(f.vms, vm) }

// delist makes the platform's list say that the VM is gone.
func (f *fleet) delist(vm string) {
	for start := range f.starts + 1 {
		f.gone[arbutusfork.Incarnation{VM: vm, Start: start}] = true
	}
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(x arbutusfork.VM) bool { return x.Name == vm })
}

// advance moves the time.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.timer.Advance(f.now)
}

// keep carries out the duties of each VM.
func (f *fleet) keep() {
	for _, vm := range f.members {
		if s := f.vms[vm.Name]; s != nil {
			s.keepRecords(context.Background())
			s.keepLoans(context.Background())
		}
	}
}

func (f *fleet) call(from arbutusfork.Incarnation, to, kind string, message, answer any) error {
	peer := f.vms[to]
	f.messages++
	unreachable := &Error{Op: "call " + to, Kind: PeerUnreachable}
	if peer == nil || f.loses() {
		return unreachable
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	handle := peer.HandleBorrow
	if kind == KindGiveback {
		handle = peer.HandleGiveback
	}
	out, err := handle(from, body)
	if err != nil {
		return err
	}
	if f.loses() {
		return unreachable
	}
	if body, err = msgpack.Marshal(out); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, answer)
}

func (f *fleet) get(_ context.Context, kind, name string) (afobject.Object, error) {
	f.reads++
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		return o, &afobject.Error{Op: "get", Object: name, Kind: afobject.NotFound}
	}
	return o, nil
}

func (f *fleet) put(_ context.Context, o afobject.Object) (afobject.Object, error) {
	key := o.Kind + "/" + o.Name
	if f.objects[key].Version != o.Version {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.Conflict}
	}
	f.version++
	o.Version = f.version
	if f.loses() {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.Unknown}
	}
	f.objects[key] = o
	if f.loses() {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.Unknown}
	}
	return o, nil
}

func (f *fleet) loses() bool { return f.lost != nil && f.lost() }
