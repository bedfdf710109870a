package afbooking

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// trial is a fleet over a platform that is slow, goes down, loses answers and carries out writes late, while VMs die
// and callers retry elsewhere. It runs on the synthetic clock of testing/synctest.
type trial struct {
	t       *testing.T
	store   *store
	timer   *aftimer.Service
	without guard
	start   time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	vms     []*vm
	calm    bool
	history []porcupine.Operation
}

type vm struct {
	*Service
	dead bool
}

// event is the input or output of an operation on one key.
type event struct {
	key    string
	verb   afclaim.OpKind
	result string
	answer string
}

// model is a key that is free, held by a granted claim, or done with an answer.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(event).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "free" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(event), output.(event)
		switch {
		case in.verb == afclaim.OpFinish:
			return state == "held", "done " + in.answer
		case in.verb == afclaim.OpCancel:
			return state == "held", "free"
		case out.result == afclaim.VerdictGranted.String():
			return state == "free", "held"
		case out.result == afclaim.VerdictStored.String():
			return state == "done "+out.answer, state
		}
		return true, state
	},
}

func (f *trial) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

func (f *trial) disturbed(percent int) bool { return f.intn(100) < percent && !f.isCalm() }

func (f *trial) isCalm() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calm
}

func (f *trial) delay() time.Duration {
	d := time.Duration(1+f.intn(20)) * time.Millisecond
	if f.disturbed(5) {
		d += time.Duration(f.intn(4)) * time.Second
	}
	return d
}

func (f *trial) boot(name string, start int64) *vm {
	v := &vm{Service: newService(f.store, name, f.gone)}
	v.Self.Start, v.Timer, v.without = start, f.timer, f.without
	v.GetObject = func(ctx context.Context, kind, key string) (afobject.Object, error) {
		return f.platform(ctx, v, true, func() (afobject.Object, error) { return f.store.get(ctx, kind, key) })
	}
	v.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
		return f.platform(ctx, v, false, func() (afobject.Object, error) { return f.store.put(ctx, o) })
	}
	v.CreateObject = v.UpdateObject
	return v
}

// platform carries out a call after a delay. A call may be carried out after its caller has given up or died.
func (f *trial) platform(ctx context.Context, v *vm, read bool, call func() (afobject.Object, error)) (afobject.Object, error) {
	type result struct {
		o   afobject.Object
		err error
	}
	lost, refused, before, after := f.disturbed(20), f.disturbed(10), f.delay(), f.delay()
	done := make(chan result, 1)
	go func() {
		<-time.After(before)
		r := result{err: &afobject.Error{Kind: afobject.Unavailable}}
		if !refused {
			r.o, r.err = call()
		}
		<-time.After(after)
		done <- r
	}()
	r := result{err: &afobject.Error{Kind: afobject.Unknown}}
	select {
	case <-ctx.Done():
	case answer := <-done:
		if !lost || read {
			r = answer
		}
	}
	if f.isDead(v) {
		runtime.Goexit()
	}
	return r.o, r.err
}

func (f *trial) isDead(v *vm) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return v.dead
}

func (f *trial) gone(i arbutusfork.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.Self == i {
			return v.dead
		}
	}
	return true
}

// record adds an operation to the history. An operation without a result may take effect at any later time.
func (f *trial) record(call time.Duration, in, out event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := int64(time.Since(f.start))
	if out.result == "" {
		end = int64(time.Hour)
	}
	f.history = append(f.history, porcupine.Operation{Input: in, Output: out, Call: int64(call), Return: end})
}

// attempt claims a key at a VM, and ends the call if it is granted and the VM lives on.
func (f *trial) attempt(v *vm, key string, patience time.Duration) afclaim.Verdict {
	call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: key, RequestDigest: "b"}
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	begin := time.Since(f.start)
	r, refusal := v.ClaimCall(ctx, call)
	if refusal != nil || f.isDead(v) {
		return afclaim.VerdictInProgress
	}
	f.record(begin, event{key: key}, event{result: r.Verdict.String(), answer: string(r.Answer.Body)})
	if r.Verdict != afclaim.VerdictGranted {
		return r.Verdict
	}
	<-time.After(f.delay())
	if f.isDead(v) {
		return r.Verdict
	}
	begin = time.Since(f.start)
	if f.intn(3) == 0 {
		f.record(begin, event{key: key, verb: afclaim.OpCancel}, event{})
		v.CancelClaim(call)
		return r.Verdict
	}
	answer := fmt.Sprint(v.Self, f.intn(1000))
	f.record(begin, event{key: key, verb: afclaim.OpFinish, answer: answer}, event{})
	v.FinishCall(call, afclaim.Answer{Status: 200, Body: []byte(answer)})
	return r.Verdict
}

const trialKeys = 4

// runTrial returns the fault that a run with the seed shows, if any.
func runTrial(t *testing.T, seed uint64, without guard) (fault string) {
	synctest.Test(t, func(t *testing.T) {
		f := &trial{
			t: t, store: &store{objects: map[string]afobject.Object{}}, timer: &aftimer.Service{}, without: without,
			start: time.Now(), rand: rand.New(rand.NewPCG(seed, 0)),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.timer.Run(ctx)
		for i := range 3 {
			f.vms = append(f.vms, f.boot(fmt.Sprint("vm", i), 1))
		}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				for range 8 {
					f.mu.Lock()
					v := f.vms[len(f.vms)-1-f.rand.IntN(3)]
					f.mu.Unlock()
					f.attempt(v, fmt.Sprint("key", f.intn(trialKeys)), time.Duration(20+f.intn(400))*time.Millisecond)
				}
			})
		}
		<-time.After(time.Duration(f.intn(600)) * time.Millisecond)
		reborn := f.boot(f.vms[0].Self.VM, 2)
		f.mu.Lock()
		f.vms[0].dead = true
		f.vms = append(f.vms, reborn)
		f.mu.Unlock()
		wg.Wait()
		fault = f.settle()
		f.finish()
	})
	return fault
}

// settle ends the disturbance and checks the history, and that no key is left claimed by a call that was refused.
func (f *trial) settle() string {
	f.mu.Lock()
	f.calm = true
	f.mu.Unlock()
	for _, v := range f.vms[1:] {
		require.True(f.t, v.Flush(f.t.Context()))
	}
	<-time.After(10 * time.Second)
	for i := range trialKeys {
		if f.attempt(f.vms[1], fmt.Sprint("key", i), time.Minute) == afclaim.VerdictInProgress {
			return "a key stays claimed although nobody was granted it"
		}
	}
	for _, v := range f.vms[1:] {
		require.True(f.t, v.Flush(f.t.Context()))
	}
	if !porcupine.CheckOperations(model, f.history) {
		return "a call was granted twice"
	}
	return ""
}

// finishTime is longer than any call to the platform, pause between attempts and claim of a trial.
const finishTime = 2 * time.Minute

// finish lets the calls to the platform and the commits end that are still in progress: the synthetic clock stops when the
// trial returns. The platform is calm by now, so that each of them ends, those of the dead VM with their next answer.
func (f *trial) finish() { <-time.After(finishTime) }

// TestCallsRunAtMostOnce guards against two grants of one key and against keys that a refused call leaves claimed.
func TestCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(300) {
		require.Empty(t, runTrial(t, seed, 0), "seed %d", seed)
	}
}

// TestCallsNeedGuards shows that the property fails without each guard.
func TestCallsNeedGuards(t *testing.T) {
	for g, want := range map[guard]string{
		guardCommit:   "a call was granted twice",
		guardReadBack: "a key stays claimed although nobody was granted it",
	} {
		found := ""
		for seed := uint64(0); found != want && seed < 300; seed++ {
			found = runTrial(t, seed, g)
		}
		require.Equal(t, want, found)
	}
}
