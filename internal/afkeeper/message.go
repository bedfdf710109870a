package afkeeper

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
)

// The kinds of peer messages.
const (
	KindVMReport      = "use"
	KindPlacementView = "view"
	// KindLimitGrants carries what the receiver may spend of each customer's limit.
	KindLimitGrants = "grant"
)

// beat is what a VM tells the holder.
type beat struct {
	Loads   map[string]load           `msgpack:"loads,omitempty"`
	Running map[string]map[string]int `msgpack:"running,omitempty"`
	Demand  []demand                  `msgpack:"demand,omitempty"`
	// Marks tells how far the VM's copies of the platform's objects are, by kind.
	Marks map[string]affeed.Position `msgpack:"marks,omitempty"`
	// Usage is by customer.
	Usage map[string]use `msgpack:"usage,omitempty"`
	// Small means that the VM lets others take the lease first.
	Small bool `msgpack:"small,omitempty"`
}

type load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Requests       int
	Prompt, Tokens int64
}

type demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Model, Adapter string
	Waiting, Fresh int
	// Oldest is in milliseconds.
	Oldest     int64
	Rate, Work float64
}

// view is what the holder tells a VM.
type view struct {
	Holder string `msgpack:"holder"`
	Epoch  int64  `msgpack:"epoch"`
	// Deputy is the VM that answers for the holder while that is silent.
	Deputy string `msgpack:"deputy,omitempty"`
	Beat   int64  `msgpack:"beat"`
	// Version is the version of the lease's record.
	Version int64 `msgpack:"version"`
	// Marks are the holder's, as in a beat.
	Marks map[string]affeed.Position `msgpack:"marks,omitempty"`
	// Engines are the engines that changed since the last view, or all of them.
	Engines map[string]engine `msgpack:"engines,omitempty"`
	// Loads is the load of all VMs together, by endpoint.
	Loads map[string]load `msgpack:"loads,omitempty"`
	// Relay counts the changes of the endpoints that the holder passed on.
	Relay int64 `msgpack:"relay,omitempty"`
	// Soon is the time until a model that no engine holds is loaded, or can be at the earliest, in milliseconds.
	Soon map[string]int64 `msgpack:"soon,omitempty"`
}

type engine struct {
	Born    int64                  `msgpack:"b"`
	Models  []afengine.LoadedModel `msgpack:"m,omitempty"`
	Closing []string               `msgpack:"c,omitempty"`
}

// grant is a VM's part of a customer's limit.
type grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	// Level is what may be spent, less what was spent after the count Spent.
	Level, Spent int64
	// Part is the part of the rate by which the level rises, in millionths.
	Part int64
}

// use is what a VM says of a customer.
type use struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	// Spent counts what was spent since the VM's start, and Asked is what requests ask for lately, in units a second.
	Spent, Asked int64
}

const partUnit = 1_000_000

func encodeLoad(l afroster.Load) load {
	return load{Requests: l.Requests, Prompt: l.UnreadPromptTokens, Tokens: l.TotalTokens}
}

func (l load) decode() afroster.Load {
	return afroster.Load{Requests: l.Requests, UnreadPromptTokens: l.Prompt, TotalTokens: l.Tokens}
}

func encodeDemand(in []afassign.Demand) []demand {
	out := make([]demand, 0, len(in))
	for _, d := range in {
		out = append(out, demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: d.WaitingRequests, Fresh: d.OnTimeRequests, Oldest: d.LongestWait.Milliseconds(), Rate: d.RequestRate, Work: d.PromptTokenRate,
		})
	}
	return out
}

func (d demand) decode() afassign.Demand {
	return afassign.Demand{
		Model: d.Model, Adapter: d.Adapter, WaitingRequests: d.Waiting, OnTimeRequests: d.Fresh, LongestWait: time.Duration(d.Oldest) * time.Millisecond,
		RequestRate: d.Rate, PromptTokenRate: d.Work,
	}
}

// HandleVMReport takes a VM's beat. Only the holder uses it.
func (s *Service) HandleVMReport(from arbutusfork.Incarnation, body []byte) (any, error) {
	var b beat
	if err := msgpack.Unmarshal(body, &b); err != nil {
		return nil, &Error{Op: "beat", Kind: MalformedMessage, Err: err}
	}
	s.mu.Lock()
	s.beats[from.VM] = heard{at: s.Timer.Now(), from: from, beat: b}
	s.mu.Unlock()
	s.CompareFeedMarks(b.Marks)
	s.poke()
	return nil, nil
}

// HandlePlacementView takes the holder's view.
func (s *Service) HandlePlacementView(from arbutusfork.Incarnation, body []byte) (any, error) {
	var v view
	if err := msgpack.Unmarshal(body, &v); err != nil {
		return nil, &Error{Op: "view", Kind: MalformedMessage, Err: err}
	}
	s.mu.Lock()
	if v.Version < s.lease.Version() {
		s.mu.Unlock()
		return nil, nil // A former holder that does not know yet.
	}
	s.lease = s.lease.WithReadRecord(aflease.Record{Holder: v.Holder, Epoch: v.Epoch, RenewalCount: v.Beat}, v.Version, s.BootTime())
	if s.holder != from.VM {
		s.Log.Info("placement holder known", "holder", v.Holder, "epoch", v.Epoch)
	}
	s.holder = from.VM
	s.viewed = s.Timer.Now()
	s.mu.Unlock()
	s.CompareFeedMarks(v.Marks)
	s.heardHolder(v.Deputy)
	s.follow(from.VM, v.Epoch, v.Relay)
	s.adopt(v)
	return nil, nil
}

func decodeGrants(in map[string]grant) map[string]LimitGrant {
	out := make(map[string]LimitGrant, len(in))
	for name, g := range in {
		out[name] = LimitGrant{AvailableUnits: g.Level, ReportedSpentUnits: g.Spent, RateFraction: float64(g.Part) / partUnit}
	}
	return out
}

// HandleLimitGrants takes this VM's parts of the limits from the holder.
func (s *Service) HandleLimitGrants(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var g map[string]grant
	if err := msgpack.Unmarshal(body, &g); err != nil {
		return nil, &Error{Op: "grant", Kind: MalformedMessage, Err: err}
	}
	s.ApplyGrants(decodeGrants(g))
	return nil, nil
}
