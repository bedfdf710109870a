package afcrash

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// slowDialer counts connection attempts, each of which takes a second and ends with err.
type slowDialer struct {
	mu             sync.Mutex
	err            error
	total          int
	running, most  int
	mostPerAddress int
	byAddress      map[string]int
}

func (d *slowDialer) dial(_ context.Context, _, address string) (net.Conn, error) {
	d.mu.Lock()
	if d.byAddress == nil {
		d.byAddress = map[string]int{}
	}
	d.total++
	d.running++
	d.byAddress[address]++
	d.most, d.mostPerAddress = max(d.most, d.running), max(d.mostPerAddress, d.byAddress[address])
	d.mu.Unlock()
	<-time.After(time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.byAddress[address]--
	if d.err == nil {
		client, server := net.Pipe()
		return client, server.Close()
	}
	return nil, d.err
}

// brokenAnswer returns what is known when the answer to a request breaks off at an endpoint.
func brokenAnswer(endpoint, request string) afquarantine.Crash {
	return afquarantine.Crash{
		Service: "llm", Endpoint: endpoint, StartUnixMs: 1, At: time.Unix(1000, 0),
		Suspects: []afquarantine.Suspect{afquarantine.NewSuspect([]string{"dead", request}, true)},
	}
}

// Guards against connections to endpoints that grow with the number of broken answers.
func TestChecksOfBrokenAnswersStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &slowDialer{err: errors.New("no route")}
		c := &Checker{Dial: d.dial, RecordCrash: func(afquarantine.Crash) { t.Error("an endpoint that cannot be reached has not crashed") }}
		for i := range 20 * maxChecks {
			c.Check(fmt.Sprintf("10.0.0.%d:1", i%(2*maxChecks)), brokenAnswer(fmt.Sprint(i%(2*maxChecks)), fmt.Sprint(i)))
		}
		<-time.After(10 * time.Second)
		require.LessOrEqual(t, d.most, maxChecks)
		require.Equal(t, 1, d.mostPerAddress)
		require.LessOrEqual(t, d.total, 2*maxChecks)
	})
}

// Guards against requests that are not suspected because another answer of their endpoint broke off a moment before.
func TestEachBrokenAnswerOfCrashedEndpointIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &slowDialer{err: errors.Wrap(syscall.ECONNREFUSED, "connect")}
		state := afquarantine.State{}
		c := &Checker{Dial: d.dial, RecordCrash: func(crash afquarantine.Crash) { state, _, _ = state.WithCrash(crash) }}
		for i := range 5 {
			c.Check("10.0.0.1:1", brokenAnswer("i-1", fmt.Sprint(i)))
		}
		<-time.After(10 * time.Second)
		require.Len(t, state.Crashes(), 1)
		require.Len(t, state.Crashes()[0].Suspects, 5)
	})
}

// Guards against a crash that is missed because the endpoint still accepted a connection before the answer broke off.
func TestAnswerThatBreaksDuringCheckIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, recorded := &slowDialer{}, atomic.Int32{}
		c := &Checker{Dial: d.dial, RecordCrash: func(crash afquarantine.Crash) {
			recorded.Add(1)
			require.Equal(t, []string{"dead", "second"}, crash.Suspects[0].Parts)
			require.Len(t, crash.Suspects, 1)
		}}
		c.Check("10.0.0.1:1", brokenAnswer("i-1", "first"))
		<-time.After(500 * time.Millisecond)
		c.Check("10.0.0.1:1", brokenAnswer("i-1", "second"))
		<-time.After(600 * time.Millisecond)
		d.mu.Lock()
		d.err = syscall.ECONNREFUSED
		d.mu.Unlock()
		<-time.After(10 * time.Second)
		require.EqualValues(t, 1, recorded.Load())
	})
}
