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
	"arbutusfork.example/arbutusfork/pkg/afversion"
	"github.com/vmihailenco/msgpack/v5"
)

// fleet runs the services of several VMs in one goroutine with a platform in memory, for measurements. Messages and
// platform calls take no time, so that a run depends only on its seed.
type fleet struct {
	customers map[string]arbutusfork.Customer
	timer     *aftimer.Service
	now       time.Time
	// members are the VMs in the platform's list.
	members []arbutusfork.VM
	// running holds the services of the VMs that are running, by VM name.
	running map[string]*Service
	goneVMs map[arbutusfork.Incarnation]bool
	objects map[string]afobject.Object
	// lastVersion is the version of the latest write, counted from 1.
	lastVersion int64
	// era is the era of the store.
	era        int64
	startCount int64
	// requestedPause is the pause that the last call of a service asked for.
	requestedPause time.Duration
	messageCount   int64
	readCount      int64
	// drawLoss reports whether the next message, its answer, the next platform write or its answer is lost. Nil means
	// that nothing is lost.
	drawLoss func() bool
}

// newFleet returns a fleet of n VMs.
func newFleet(n int, customers ...arbutusfork.Customer) *fleet {
	f := &fleet{
		customers: make(map[string]arbutusfork.Customer), timer: &aftimer.Service{}, now: time.Unix(0, 0),
		running: make(map[string]*Service), goneVMs: make(map[arbutusfork.Incarnation]bool), objects: make(map[string]afobject.Object),
	}
	f.timer.AdvanceTo(f.now)
	for _, c := range customers {
		f.customers[c.Name] = c
	}
	for i := range n {
		f.startVM("vm" + strconv.Itoa(i))
	}
	return f
}

// startVM starts a new incarnation of the VM and adds the VM to the platform's list.
func (f *fleet) startVM(vm string) *Service {
	f.startCount++
	s := &Service{
		Self: arbutusfork.Incarnation{VM: vm, StartID: f.startCount}, Timer: f.timer, Log: slog.New(slog.DiscardHandler),
		Customer: func(name string) (arbutusfork.Customer, bool) { c, ok := f.customers[name]; return c, ok },
		Customers: func() (out []arbutusfork.Customer) {
			for _, c := range f.customers {
				out = append(out, c)
			}
			return out
		},
		LiveVMs:   func() []arbutusfork.VM { return f.members },
		GetObject: f.getObject, CreateObject: f.putObject, UpdateObject: f.putObject,
		IsGone:   func(i arbutusfork.Incarnation) bool { return f.goneVMs[i] },
		OtherVMs: func() ([]string, bool) { return f.otherVMs(vm), true },
		spawn:    func(fn func()) { fn() },
		sleep:    func(d time.Duration) { f.requestedPause = d },
	}
	s.CallVM = func(_ context.Context, to, kind string, message, answer any) error {
		return f.callPeer(s.Self, to, kind, message, answer)
	}
	f.running[vm] = s
	f.members = append(f.members, arbutusfork.VM{Name: vm})
	return s
}

// killVM stops a VM without notice. The platform's list contains it until markGone.
func (f *fleet) killVM(vm string) { delete(f.running, vm) }

// markGone removes a VM from the platform's list.
func (f *fleet) markGone(vm string) {
	for start := range f.startCount + 1 {
		f.goneVMs[arbutusfork.Incarnation{VM: vm, StartID: start}] = true
	}
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(x arbutusfork.VM) bool { return x.Name == vm })
}

// otherVMs returns the names of the other VMs in the platform's list.
func (f *fleet) otherVMs(vm string) (names []string) {
	for _, m := range f.members {
		if m.Name != vm {
			names = append(names, m.Name)
		}
	}
	return names
}

// goBack replaces the platform's store by an older copy, which begins a new era.
func (f *fleet) goBack(objects map[string]afobject.Object) {
	f.era++
	f.objects = make(map[string]afobject.Object)
	for key, o := range objects {
		o.Version, _ = afversion.Join(f.era, afversion.Revision(o.Version))
		f.objects[key] = o
	}
}

// advanceBy moves the time forward.
func (f *fleet) advanceBy(d time.Duration) {
	f.now = f.now.Add(d)
	f.timer.AdvanceTo(f.now)
}

// runMaintenance carries out the periodic work on loans and share records on each running VM.
func (f *fleet) runMaintenance() {
	for _, vm := range f.members {
		if s := f.running[vm.Name]; s != nil {
			s.maintainRecords(context.Background())
			s.maintainLoans(context.Background())
		}
	}
}

// callPeer delivers a message to a VM and decodes its answer.
func (f *fleet) callPeer(from arbutusfork.Incarnation, to, kind string, message, answer any) error {
	peer := f.running[to]
	f.messageCount++
	unreachable := &Error{Op: "call " + to, Kind: PeerUnreachable}
	if peer == nil || f.isLost() {
		return unreachable
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	handle := map[string]func(arbutusfork.Incarnation, []byte) (any, error){
		KindBorrow: peer.HandleBorrow, KindGiveback: peer.HandleGiveback, KindShares: peer.HandleShares,
	}[kind]
	out, err := handle(from, body)
	if err != nil {
		return err
	}
	if f.isLost() {
		return unreachable
	}
	if body, err = msgpack.Marshal(out); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, answer)
}

func (f *fleet) getObject(_ context.Context, kind, name string) (afobject.Object, error) {
	f.readCount++
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		o.Version, _ = afversion.Join(f.era, 0)
		return o, &afobject.Error{Op: "get", Object: name, Kind: afobject.ObjectNotFound}
	}
	return o, nil
}

// putObject creates or updates an object if its stored version equals o.Version.
func (f *fleet) putObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	key := o.Kind + "/" + o.Name
	if afversion.Revision(f.objects[key].Version) != afversion.Revision(o.Version) {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.VersionConflict}
	}
	f.lastVersion++
	o.Version, _ = afversion.Join(f.era, f.lastVersion)
	if f.isLost() {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.OutcomeUnknown}
	}
	f.objects[key] = o
	if f.isLost() {
		return afobject.Object{}, &afobject.Error{Op: "put", Object: o.Name, Kind: afobject.OutcomeUnknown}
	}
	return o, nil
}

// isLost draws whether the next message, write or answer is lost.
func (f *fleet) isLost() bool { return f.drawLoss != nil && f.drawLoss() }
