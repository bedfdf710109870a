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

// trial is a set of VMs with a fake platform that delays calls, rejects them, loses answers and carries out writes
// after the caller has given up. VMs die and callers retry at other VMs. A trial runs on the synthetic clock of
// testing/synctest.
type trial struct {
	t              *testing.T
	platform       *fakePlatform
	timer          *aftimer.Service
	disabledGuards guard
	startedAt      time.Time

	mu          sync.Mutex
	rand        *rand.Rand
	vms         []*vm
	isFaultFree bool
	history     []porcupine.Operation
}

// vm is one start of a daemon.
type vm struct {
	*Service
	hasDied bool
}

// keyEvent is the input or output of an operation on one idempotency key.
type keyEvent struct {
	key    string
	kind   afclaim.OpKind
	result string
	answer string
}

// claimModel is the sequential specification of one key: free, held by a granted claim, or done with an answer.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(keyEvent).key
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
		in, out := input.(keyEvent), output.(keyEvent)
		switch {
		case in.kind == afclaim.OpFinish:
			return state == "held", "done " + in.answer
		case in.kind == afclaim.OpCancel:
			return state == "held", "free"
		case out.result == afclaim.VerdictGranted.String():
			return state == "free", "held"
		case out.result == afclaim.VerdictStored.String():
			return state == "done "+out.answer, state
		}
		return true, state
	},
}

// drawInt draws a number from 0 to n-1.
func (tr *trial) drawInt(n int) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.rand.IntN(n)
}

// drawFault draws whether a fault occurs, with the given probability in percent. There are no faults after
// isFaultFree is set.
func (tr *trial) drawFault(percent int) bool { return tr.drawInt(100) < percent && !tr.faultsEnded() }

func (tr *trial) faultsEnded() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.isFaultFree
}

// drawDelay draws the delay of a message or of a caller.
func (tr *trial) drawDelay() time.Duration {
	d := time.Duration(1+tr.drawInt(20)) * time.Millisecond
	if tr.drawFault(5) {
		d += time.Duration(tr.drawInt(4)) * time.Second
	}
	return d
}

// startVM starts an incarnation of a VM.
func (tr *trial) startVM(name string, start int64) *vm {
	v := &vm{Service: newService(tr.platform, name, tr.isGone)}
	v.Self.StartID, v.Timer, v.disabledGuards = start, tr.timer, tr.disabledGuards
	v.GetObject = func(ctx context.Context, kind, key string) (afobject.Object, error) {
		return tr.callPlatform(ctx, v, true, func() (afobject.Object, error) { return tr.platform.getObject(ctx, kind, key) })
	}
	v.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
		return tr.callPlatform(ctx, v, false, func() (afobject.Object, error) { return tr.platform.putObject(ctx, o) })
	}
	v.CreateObject = v.UpdateObject
	v.OtherVMs = func() ([]string, bool) { return tr.otherVMs(v), true }
	v.CallVM = func(ctx context.Context, vm, _ string, message, answer any) error {
		return tr.callVM(ctx, v, vm, message, answer)
	}
	return v
}

// callPlatform carries out a call after a random delay. The call may be carried out after its caller has given up or
// has died.
func (tr *trial) callPlatform(ctx context.Context, v *vm, isRead bool, call func() (afobject.Object, error)) (afobject.Object, error) {
	type result struct {
		o   afobject.Object
		err error
	}
	answerLost, isRefused, delayBefore, delayAfter := tr.drawFault(20), tr.drawFault(10), tr.drawDelay(), tr.drawDelay()
	done := make(chan result, 1)
	go func() {
		<-time.After(delayBefore)
		r := result{err: &afobject.Error{Kind: afobject.PlatformUnavailable}}
		if !isRefused {
			r.o, r.err = call()
		}
		<-time.After(delayAfter)
		done <- r
	}()
	r := result{err: &afobject.Error{Kind: afobject.OutcomeUnknown}}
	select {
	case <-ctx.Done():
	case answer := <-done:
		if !answerLost || isRead {
			r = answer
		}
	}
	if tr.isDead(v) {
		runtime.Goexit()
	}
	return r.o, r.err
}

func (tr *trial) isDead(v *vm) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return v.hasDied
}

// isGone reports whether the incarnation has died. An unknown incarnation counts as gone.
func (tr *trial) isGone(i arbutusfork.Incarnation) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, v := range tr.vms {
		if v.Self == i {
			return v.hasDied
		}
	}
	return true
}

// recordOperation adds an operation to the history. An operation without a result may take effect at any later time.
func (tr *trial) recordOperation(beganAt time.Duration, in, out keyEvent) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	endedAt := int64(time.Since(tr.startedAt))
	if out.result == "" {
		endedAt = int64(time.Hour)
	}
	tr.history = append(tr.history, porcupine.Operation{Input: in, Output: out, Call: int64(beganAt), Return: endedAt})
}

// attemptCall claims a key at a VM. If the claim is granted and the VM does not die, it then finishes or cancels the
// call.
func (tr *trial) attemptCall(v *vm, key string, timeout time.Duration) afclaim.Verdict {
	call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: key, RequestDigest: "b"}
	ctx, cancel := context.WithTimeout(tr.t.Context(), timeout)
	defer cancel()
	beganAt := time.Since(tr.startedAt)
	r, refusal := v.ClaimCall(ctx, call)
	if refusal != nil || tr.isDead(v) {
		return afclaim.VerdictInProgress
	}
	tr.recordOperation(beganAt, keyEvent{key: key}, keyEvent{result: r.Verdict.String(), answer: string(r.Answer.Body)})
	if r.Verdict != afclaim.VerdictGranted {
		return r.Verdict
	}
	<-time.After(tr.drawDelay())
	if tr.isDead(v) {
		return r.Verdict
	}
	beganAt = time.Since(tr.startedAt)
	if tr.drawInt(3) == 0 {
		tr.recordOperation(beganAt, keyEvent{key: key, kind: afclaim.OpCancel}, keyEvent{})
		v.CancelClaim(call)
		return r.Verdict
	}
	answer := fmt.Sprint(v.Self, tr.drawInt(1000))
	tr.recordOperation(beganAt, keyEvent{key: key, kind: afclaim.OpFinish, answer: answer}, keyEvent{})
	v.FinishCall(call, afclaim.Answer{Status: 200, Body: []byte(answer)})
	return r.Verdict
}

// trialKeyCount is the number of idempotency keys that the callers of a trial share.
const trialKeyCount = 4

// runTrial runs a trial with the seed, in which a VM dies or the store goes back, and returns the violation that it shows, or an empty string.
func runTrial(t *testing.T, seed uint64, disabledGuards guard, goesBack bool) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		tr := &trial{
			t: t, platform: &fakePlatform{objects: map[string]afobject.Object{}}, timer: &aftimer.Service{}, disabledGuards: disabledGuards,
			startedAt: time.Now(), rand: rand.New(rand.NewPCG(seed, 0)),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go tr.timer.Run(ctx)
		for i := range 3 {
			tr.vms = append(tr.vms, tr.startVM(fmt.Sprint("vm", i), 1))
		}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				for range 8 {
					tr.mu.Lock()
					v := tr.vms[len(tr.vms)-1-tr.rand.IntN(3)]
					tr.mu.Unlock()
					tr.attemptCall(v, fmt.Sprint("key", tr.drawInt(trialKeyCount)), time.Duration(20+tr.drawInt(400))*time.Millisecond)
				}
			})
		}
		if goesBack {
			<-time.After(time.Duration(tr.drawInt(400)) * time.Millisecond)
			goBack := tr.platform.copyState()
			<-time.After(time.Duration(tr.drawInt(400)) * time.Millisecond)
			goBack()
			wg.Wait()
			violation = tr.checkHistory()
			tr.drainCalls()
			return
		}
		<-time.After(time.Duration(tr.drawInt(600)) * time.Millisecond)
		restarted := tr.startVM(tr.vms[0].Self.VM, 2)
		tr.mu.Lock()
		tr.vms[0].hasDied = true
		tr.vms = append(tr.vms, restarted)
		tr.mu.Unlock()
		wg.Wait()
		violation = tr.checkHistory()
		tr.drainCalls()
	})
	return violation
}

// checkHistory ends the faults, and returns a violation if the history contradicts the model or if a refused call has
// left its key claimed.
func (tr *trial) checkHistory() string {
	tr.mu.Lock()
	tr.isFaultFree = true
	tr.mu.Unlock()
	for _, v := range tr.vms[1:] {
		require.True(tr.t, v.Flush(tr.t.Context()))
	}
	<-time.After(10 * time.Second)
	for i := range trialKeyCount {
		if tr.attemptCall(tr.vms[1], fmt.Sprint("key", i), time.Minute) == afclaim.VerdictInProgress {
			return "a key stays claimed although nobody was granted it"
		}
	}
	for _, v := range tr.vms[1:] {
		require.True(tr.t, v.Flush(tr.t.Context()))
	}
	if !porcupine.CheckOperations(claimModel, tr.history) {
		return "a call was granted twice"
	}
	return ""
}

// drainDuration is longer than any platform call, retry delay and claim of a trial.
const drainDuration = 2 * time.Minute

// drainCalls waits for the platform calls and commits that are still in progress, because the synthetic clock stops
// when the trial returns. There are no faults by now, so each of them ends. Those of the dead VM end with their next
// answer.
func (tr *trial) drainCalls() { <-time.After(drainDuration) }

// TestCallsRunAtMostOnce guards against two grants of one key, and against keys that a refused call leaves claimed.
func TestCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(300) {
		require.Empty(t, runTrial(t, seed, 0, false), "seed %d", seed)
	}
}

// TestCallsNeedGuards shows that the property is violated if either guard is disabled.
func TestCallsNeedGuards(t *testing.T) {
	for g, want := range map[guard]string{
		guardCommit:   "a call was granted twice",
		guardReadBack: "a key stays claimed although nobody was granted it",
	} {
		violation := ""
		for seed := uint64(0); violation != want && seed < 300; seed++ {
			violation = runTrial(t, seed, g, false)
		}
		require.Equal(t, want, violation)
	}
}
