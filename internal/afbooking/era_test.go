package afbooking

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// otherVMs returns the names of the other VMs that have not died.
func (tr *trial) otherVMs(self *vm) (names []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, v := range tr.vms {
		if v != self && !v.hasDied {
			names = append(names, v.Self.VM)
		}
	}
	return names
}

// callVM carries out a call to another VM after a random delay. The call or its answer may be lost.
func (tr *trial) callVM(ctx context.Context, self *vm, name string, message, answer any) error {
	body, err := msgpack.Marshal(message)
	if err != nil || tr.drawFault(10) {
		return &afobject.Error{Kind: afobject.PlatformUnavailable, Err: err}
	}
	<-time.After(time.Duration(1+tr.drawInt(5)) * time.Millisecond)
	for _, v := range tr.vms {
		if v.Self.VM != name || v == self || tr.isDead(v) {
			continue
		}
		a, err := v.HandleClaims(self.Self, body)
		if err != nil || tr.drawFault(10) {
			return &afobject.Error{Kind: afobject.PlatformUnavailable, Err: err}
		}
		b, err := msgpack.Marshal(a)
		if err != nil {
			return err
		}
		return msgpack.Unmarshal(b, answer)
	}
	return ctx.Err()
}

// TestCallsRunAtMostOnceWhenStoreGoesBack guards against a second run of a call whose claim the store has lost.
func TestCallsRunAtMostOnceWhenStoreGoesBack(t *testing.T) {
	for seed := range uint64(300) {
		require.Empty(t, runTrial(t, seed, 0, true), "seed %d", seed)
	}
}

// TestClaimsAreWrittenAgain guards against a claim that only one VM remembers and that is gone when that VM ends.
func TestClaimsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &fakePlatform{objects: map[string]afobject.Object{}, era: 1}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := newService(platform, "a", nil)
		go a.Timer.Run(ctx)
		call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: "k", RequestDigest: "x"}
		goBack := platform.copyState()
		r, refusal := a.ClaimCall(ctx, call)
		require.Nil(t, refusal)
		require.Equal(t, afclaim.VerdictGranted, r.Verdict)
		goBack()
		_, err := platform.getObject(ctx, "", a.bucketOf(call).recordName)
		require.Error(t, err)
		a.RecordEra(2)
		<-time.After(time.Minute)
		_, err = platform.getObject(ctx, "", a.bucketOf(call).recordName)
		require.NoError(t, err)
	})
}
