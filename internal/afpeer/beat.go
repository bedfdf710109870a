package afpeer

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// heartbeatInterval is the time between two heartbeats on a link.
	heartbeatInterval = 500 * time.Millisecond
	// smallFleetVMs is the number of VMs from which the time between two heartbeats on a link grows with the fleet, by a factor
	// of at most maxCalmFactor, while all are answered.
	smallFleetVMs = 24
	maxCalmFactor = 3
	// maxMissedHeartbeats is the number of unanswered heartbeats after which a new connection to the VM is tried.
	maxMissedHeartbeats = 3
	// heartbeatsPerPeerRequest is the number of heartbeats on a link of which one requests the VMs that the other VM is
	// connected to.
	heartbeatsPerPeerRequest = 10
)

// helloMessage is the first request on a link and its answer. Each side describes itself in it.
type helloMessage struct {
	VM string `msgpack:"vm"`
	// Start is the StartID of the VM's incarnation.
	Start   int64  `msgpack:"start"`
	Address string `msgpack:"address"`
	Centre  string `msgpack:"centre"`
	Leaving bool   `msgpack:"leaving,omitempty"`
}

func (h helloMessage) vm() arbutusfork.VM {
	return arbutusfork.VM{Name: h.VM, Address: h.Address, Centre: h.Centre}
}

func (h helloMessage) incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: h.VM, StartID: h.Start}
}

// heartbeatRequest requests a heartbeat. The answer carries the frame ID of the request, so that the receiver of the
// answer can count the ages in it back from the time of the request.
type heartbeatRequest struct {
	// Leaving means that the sender is leaving.
	Leaving bool `msgpack:"leaving,omitempty"`
	// Peers requests the VMs that the receiver is connected to.
	Peers bool `msgpack:"peers,omitempty"`
}

// heartbeatAnswer reports the configuration, the shards and the connections of the VM that answers.
type heartbeatAnswer struct {
	// Version is the configuration version that the VM holds.
	Version int64 `msgpack:"version"`
	// Epoch is the witness epoch that the VM holds.
	Epoch int64 `msgpack:"epoch"`
	// Vouching means that the answer may be used as evidence.
	Vouching bool `msgpack:"vouching,omitempty"`
	// Leaving means that the VM is leaving.
	Leaving  bool                `msgpack:"leaving,omitempty"`
	Evidence []heartbeatEvidence `msgpack:"evidence,omitempty"`
	// Parts maps shards to the versions of the routing table that the VM holds.
	Parts map[string]afplacement.PartVersion `msgpack:"parts,omitempty"`
	// List is the digest of the platform's list of VMs. Zero means that the VM holds none.
	List int64 `msgpack:"list,omitempty"`
	// Age is the time between the request for the list and this answer, in milliseconds rounded up.
	Age int64 `msgpack:"age,omitempty"`
	// Peers are VMs that the answering VM is connected to. Through them a VM finds the others from a single seed while
	// the platform is down.
	Peers []connectedVM `msgpack:"peers,omitempty"`
}

// connectedVM is a VM to which the VM that answers a heartbeat has a link.
type connectedVM struct {
	VM      string `msgpack:"vm"`
	Address string `msgpack:"address"`
	Centre  string `msgpack:"centre"`
}

// heartbeatEvidence is one VM's evidence about a witness. It is encoded as an array, since field names would make up
// most of a heartbeat.
type heartbeatEvidence struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Witness string
	Start   int64
	Version int64
	Epoch   int64
	// Age is the time between the request to the witness and this answer, in milliseconds rounded up.
	Age int64
}

func (s *Service) buildHello() helloMessage {
	return helloMessage{
		VM: s.Self.VM, Start: s.Self.StartID, Address: s.effectiveAddress, Centre: s.Centre, Leaving: s.isLeaving.Load(),
	}
}

// answerHello returns the answer to a hello and records the VM that sent it.
func (s *Service) answerHello(l *link, body []byte) helloMessage {
	var h helloMessage
	if err := msgpack.Unmarshal(body, &h); err != nil || h.VM == "" {
		s.log().Warn("malformed hello", "error", err)
		return s.buildHello()
	}
	from := h.incarnation()
	l.peerIncarnation.Store(&from)
	if h.VM != s.Self.VM {
		s.events.TryPush(func() { s.recordHello(h) })
	}
	return s.buildHello()
}

// answerHeartbeat returns the answer to a heartbeat request.
func (s *Service) answerHeartbeat(from arbutusfork.Incarnation, body []byte) heartbeatAnswer {
	var request heartbeatRequest
	if err := msgpack.Unmarshal(body, &request); err == nil && request.Leaving {
		s.events.TryPush(func() { s.recordLeaving(from.VM) })
	}
	answer := heartbeatAnswer{Leaving: s.isLeaving.Load()}
	if request.Peers {
		for _, vm := range s.snapshot.Load().connected {
			answer.Peers = append(answer.Peers, connectedVM{VM: vm.Name, Address: vm.Address, Centre: vm.Centre})
		}
	}
	if s.BuildReport != nil {
		now := s.Timer.Now()
		r := s.BuildReport(now)
		answer.Version, answer.Epoch, answer.Vouching = r.Version, r.Epoch, r.CanVouch
		if r.ListDigest != 0 {
			answer.List, answer.Age = r.ListDigest, now.Sub(r.ListRequestedAt).Milliseconds()+1
		}
		for _, e := range r.Evidence {
			answer.Evidence = append(answer.Evidence, heartbeatEvidence{
				Witness: e.Witness, Start: e.Start, Version: e.Version, Epoch: e.Epoch,
				Age: now.Sub(e.RequestedAt).Milliseconds() + 1,
			})
		}
	}
	if s.TableVersions != nil {
		answer.Parts = s.TableVersions()
	}
	return answer
}

// calmHeartbeatInterval returns the time between two heartbeats on a link whose heartbeats are answered. The most loaded VM has
// a link to each other VM, so that its messages would grow with the fleet. After a heartbeat without an answer, the next one
// follows after heartbeatInterval whatever the size of the fleet.
func (s *Service) calmHeartbeatInterval() time.Duration {
	return heartbeatInterval * time.Duration(min(max(len(s.view.PossiblyAliveVMs())/smallFleetVMs, 1), maxCalmFactor))
}

// requestHeartbeat sends a heartbeat request over the peer's link. The request counts as missed until its answer arrives.
func (s *Service) requestHeartbeat(p *peer) {
	l, requestedAt := p.link, s.Timer.Now()
	p.nextHeartbeatAt = requestedAt.Add(s.calmHeartbeatInterval() - heartbeatInterval/2)
	request := heartbeatRequest{
		Leaving: s.isLeaving.Load(), Peers: p.linkHeartbeats%heartbeatsPerPeerRequest == 0 && s.needsMorePeers(),
	}
	body, _ := msgpack.Marshal(request) // A plain struct can always be encoded.
	p.missedHeartbeats++
	p.linkHeartbeats++
	l.sendRequest(kindBeat, body, func(f afframe.Frame, err error) {
		var answer heartbeatAnswer
		if err != nil || f.Kind != kindBeat || msgpack.Unmarshal(f.Body, &answer) != nil {
			return
		}
		s.deliverHeartbeat(*l.peerIncarnation.Load(), requestedAt, answer)
		s.events.TryPush(func() { s.recordHeartbeatAnswer(p, l, answer) })
	})
}

// deliverHeartbeat passes the content of a heartbeat answer to the callbacks. Ages are subtracted from the time of the
// request, so that evidence never appears newer than it is.
func (s *Service) deliverHeartbeat(from arbutusfork.Incarnation, requestedAt time.Time, answer heartbeatAnswer) {
	if s.OnReport != nil {
		r := ConfigurationReport{Version: answer.Version, Epoch: answer.Epoch, CanVouch: answer.Vouching}
		if answer.List != 0 {
			r.ListDigest, r.ListRequestedAt = answer.List, requestedAt.Add(-time.Duration(answer.Age)*time.Millisecond)
		}
		for _, e := range answer.Evidence {
			r.Evidence = append(r.Evidence, afconfig.Evidence{
				Witness: e.Witness, Start: e.Start, Version: e.Version, Epoch: e.Epoch,
				RequestedAt: requestedAt.Add(-time.Duration(e.Age) * time.Millisecond),
			})
		}
		s.OnReport(from, requestedAt, r)
	}
	if s.OnTableVersions != nil && len(answer.Parts) > 0 {
		s.OnTableVersions(from, answer.Parts)
	}
}

// recordObservation puts the state of a peer into the view and publishes the view.
func (s *Service) recordObservation(p *peer) {
	s.view = s.view.WithObservation(afmember.Observation{
		VM: p.vm, Alive: p.isAlive, Suspected: p.isSuspected, Leaving: p.isLeaving,
	})
	s.publishMembership()
}
