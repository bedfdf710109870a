package afpeer

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

const (
	beatPeriod = 500 * time.Millisecond
	// maxMissed is the number of unanswered heartbeats after which the VM is checked over a new connection.
	maxMissed = 3
	// peersEvery is the number of heartbeats of which one asks for the other VM's peers.
	peersEvery = 10
)

// hello opens a link and is answered in kind.
type hello struct {
	VM      string `msgpack:"vm"`
	Start   int64  `msgpack:"start"`
	Address string `msgpack:"address"`
	Centre  string `msgpack:"centre"`
	Leaving bool   `msgpack:"leaving,omitempty"`
}

func (h hello) vm() arbutusfork.VM {
	return arbutusfork.VM{Name: h.VM, Address: h.Address, Centre: h.Centre}
}

func (h hello) incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: h.VM, StartID: h.Start}
}

// beatRequest asks for a beat. Its answer echoes the number of the frame, so that the age of what the answer
// says counts from the request.
type beatRequest struct {
	Leaving bool `msgpack:"leaving,omitempty"`
	// Peers asks for the VMs that the other one is connected to.
	Peers bool `msgpack:"peers,omitempty"`
}

type beatAnswer struct {
	Version  int64            `msgpack:"version"`
	Epoch    int64            `msgpack:"epoch"`
	Vouching bool             `msgpack:"vouching,omitempty"`
	Leaving  bool             `msgpack:"leaving,omitempty"`
	Evidence []beatEvidence   `msgpack:"evidence,omitempty"`
	Digests  map[string]int64 `msgpack:"digests,omitempty"`
	// List is the digest of the platform's list of VMs, and Age the time since it was asked for when the answer was
	// sent, in milliseconds rounded up.
	List int64 `msgpack:"list,omitempty"`
	Age  int64 `msgpack:"age,omitempty"`
	// Peers lets a VM find the others through one seed while the platform is down.
	Peers []beatPeer `msgpack:"peers,omitempty"`
}

type beatPeer struct {
	VM      string `msgpack:"vm"`
	Address string `msgpack:"address"`
	Centre  string `msgpack:"centre"`
}

// beatEvidence is sent as an array, since its field names would be most of a heartbeat.
type beatEvidence struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Witness string
	Start   int64
	Version int64
	Epoch   int64
	// Age is the time since the witness was asked when the answer was sent, in milliseconds rounded up.
	Age int64
}

func (s *Service) hello() hello {
	return hello{
		VM: s.Self.VM, Start: s.Self.StartID, Address: s.address, Centre: s.Centre, Leaving: s.leaving.Load(),
	}
}

// greet answers a hello and takes note of the VM that sent it.
func (s *Service) greet(l *link, body []byte) hello {
	var h hello
	if err := msgpack.Unmarshal(body, &h); err != nil || h.VM == "" {
		s.log().Warn("malformed hello", "error", err)
		return s.hello()
	}
	from := h.incarnation()
	l.from.Store(&from)
	if h.VM != s.Self.VM {
		s.events.TryPush(func() { s.met(h) })
	}
	return s.hello()
}

// beat answers a heartbeat.
func (s *Service) beat(from arbutusfork.Incarnation, body []byte) beatAnswer {
	var in beatRequest
	if err := msgpack.Unmarshal(body, &in); err == nil && in.Leaving {
		s.events.TryPush(func() { s.left(from.VM) })
	}
	out := beatAnswer{Leaving: s.leaving.Load()}
	if in.Peers {
		for _, vm := range s.shared.Load().connected {
			out.Peers = append(out.Peers, beatPeer{VM: vm.Name, Address: vm.Address, Centre: vm.Centre})
		}
	}
	if s.BuildReport != nil {
		now := s.Timer.Now()
		r := s.BuildReport(now)
		out.Version, out.Epoch, out.Vouching = r.Version, r.Epoch, r.CanVouch
		if r.ListDigest != 0 {
			out.List, out.Age = r.ListDigest, now.Sub(r.ListRequestedAt).Milliseconds()+1
		}
		for _, e := range r.Evidence {
			out.Evidence = append(out.Evidence, beatEvidence{
				Witness: e.Witness, Start: e.Start, Version: e.Version, Epoch: e.Epoch,
				Age: now.Sub(e.RequestedAt).Milliseconds() + 1,
			})
		}
	}
	if s.TableDigests != nil {
		out.Digests = s.TableDigests()
	}
	return out
}

// sendBeat asks the VM behind a link for its heartbeat.
func (s *Service) sendBeat(p *peer) {
	l, sent := p.link, s.Timer.Now()
	in := beatRequest{Leaving: s.leaving.Load(), Peers: p.beats%peersEvery == 0 && s.lonely()}
	body, _ := msgpack.Marshal(in) // A plain struct can always be encoded.
	p.missed++
	p.beats++
	l.request(kindBeat, body, func(f afframe.Frame, err error) {
		var a beatAnswer
		if err != nil || f.Kind != kindBeat || msgpack.Unmarshal(f.Body, &a) != nil {
			return
		}
		s.heard(*l.from.Load(), sent, a)
		s.events.TryPush(func() { s.answered(p, l, a) })
	})
}

// heard passes on what a heartbeat says. Its age counts from when it was asked for.
func (s *Service) heard(from arbutusfork.Incarnation, sent time.Time, a beatAnswer) {
	if s.OnReport != nil {
		r := ConfigurationReport{Version: a.Version, Epoch: a.Epoch, CanVouch: a.Vouching}
		if a.List != 0 {
			r.ListDigest, r.ListRequestedAt = a.List, sent.Add(-time.Duration(a.Age)*time.Millisecond)
		}
		for _, e := range a.Evidence {
			r.Evidence = append(r.Evidence, afconfig.Evidence{
				Witness: e.Witness, Start: e.Start, Version: e.Version, Epoch: e.Epoch,
				RequestedAt: sent.Add(-time.Duration(e.Age) * time.Millisecond),
			})
		}
		s.OnReport(from, sent, r)
	}
	if s.OnTableDigests != nil && len(a.Digests) > 0 {
		s.OnTableDigests(from, a.Digests)
	}
}

func (s *Service) observe(p *peer) {
	s.view = s.view.WithObservation(afmember.Observation{
		VM: p.vm, Alive: p.alive, Suspected: p.suspected, Leaving: p.leaving,
	})
	s.changed()
}
