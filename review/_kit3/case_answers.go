package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["refused"] = runRefused
	cases["status"] = runStatus
}

const (
	greyRunners = 1 // greyRunners is how many of the plainRunners fail a part of their requests.
	// greyEvery is one in how many requests of such a runner fails: x = 0.4.
	greyEvery, greyFails = 5, 2
	plainRunners         = 8
	// greyLength is how long the disruption lasts.
	greyLength = 6500 * time.Millisecond
	// payments is the number of payments a second, as on the sheet.
	payments = 7
	episodes = 3
)

// greyServer answers requests like a sound plain service, except that grey runners run a part of their requests and answer them with a
// status of their own, signed and whole.
type greyServer struct {
	fleet  *fleet
	status int

	mu     sync.Mutex
	counts map[string]int
	// failed holds the requests that ran and were answered with the status.
	failed map[string]bool
	isGrey atomic.Bool
}

func (g *greyServer) answer(c *call, isTrouble bool) bool {
	time.Sleep(30 * time.Millisecond)
	signed := headerSigned + ": " + c.runner.id + "\r\n"
	g.mu.Lock()
	n := g.counts[c.runner.id]
	g.counts[c.runner.id]++
	isFailed := isTrouble && g.isGrey.Load() && c.runner.id <= fmt.Sprintf("i-%s-%d", plainName, greyRunners-1) && n%greyEvery < greyFails
	if isFailed {
		g.failed[c.id] = true
	}
	g.mu.Unlock()
	if !isFailed {
		return c.write(http.StatusOK, signed, "done "+c.id+strings.Repeat(".", 780))
	}
	g.fleet.rec.line("%s ran %s and answers %d", c.runner.id, c.id, g.status)
	return c.write(g.status, signed, "failed")
}

func (g *greyServer) hasFailed(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed[id]
}

// prepare starts the deployment with the server.
func (g *greyServer) prepare(isTrouble bool) error {
	f := g.fleet
	stream := func(c *call) bool { return c.stream(20, 100*time.Millisecond, 25*time.Millisecond) }
	if err := f.addRunners(3, plainRunners, stream, func(c *call) bool { return g.answer(c, isTrouble) }); err != nil {
		return err
	}
	if err := f.startGateways(); err != nil {
		return err
	}
	return f.settle()
}

// run lasts until some seconds after the disruption.
func (g *greyServer) run() {
	for range episodes {
		time.Sleep(contactTime)
		g.isGrey.Store(true)
		g.fleet.rec.line("the grey runner begins to fail")
		time.Sleep(greyLength)
		g.isGrey.Store(false)
		g.fleet.rec.line("the grey runner is sound again")
	}
	time.Sleep(contactTime)
}

// runRefused checks REFUSED: a request that is not idempotent and has run is not answered with a status that promises that it has not. A
// consumer that gets such an answer sends the payment once more, as the pages allow.
func runRefused(f *fleet, isTrouble bool) (bool, error) {
	g := &greyServer{fleet: f, status: http.StatusServiceUnavailable, counts: map[string]int{}, failed: map[string]bool{}}
	if err := g.prepare(isTrouble); err != nil {
		return false, err
	}
	var sent, broken, twice atomic.Int64
	t := &traffic{stop: make(chan struct{})}
	t.every(payments, func(n int) {
		sent.Add(1)
		q := pay(fmt.Sprintf("p-%d", n), n)
		a := f.send(q)
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		default:
			return
		}
		if !g.hasFailed(q.id) {
			return
		}
		broken.Add(1)
		f.rec.line("broken REFUSED: %s ran and its consumer got %d", q.id, a.status)
		again := pay(q.id+"-again", n+1)
		if f.send(again).status == http.StatusOK {
			twice.Add(1)
		}
	})
	g.run()
	t.end()
	f.rec.report("%d payments; %d ran and were answered as not run; %d of them ran once more when they were sent again", sent.Load(), broken.Load(), twice.Load())
	return broken.Load() == 0, nil
}

// runStatus checks MIXED: where a runner answered with a failure, its consumer gets no 2xx and no bytes that are no answer.
func runStatus(f *fleet, isTrouble bool) (bool, error) {
	const overloaded = 529 // It has no text in the registry, and clients treat it as any other 5xx.
	g := &greyServer{fleet: f, status: overloaded, counts: map[string]int{}, failed: map[string]bool{}}
	if err := g.prepare(isTrouble); err != nil {
		return false, err
	}
	var sent, broken, right atomic.Int64
	t := &traffic{stop: make(chan struct{})}
	t.every(payments, func(n int) {
		sent.Add(1)
		q := pay(fmt.Sprintf("p-%d", n), n)
		a := f.send(q)
		switch {
		case !g.hasFailed(q.id):
		case a.status == overloaded && a.err == nil:
			right.Add(1)
		case a.status/100 == 2:
			broken.Add(1)
			f.rec.line("broken MIXED: the runner answered %s with %d, and its consumer got %q, then the end of the channel", q.id, overloaded, a.head)
		}
	})
	g.run()
	t.end()
	f.rec.report("%d payments; %d answers with status %d reached their consumers, %d became a 200 without a signature that breaks off", sent.Load(), right.Load(), overloaded, broken.Load())
	return broken.Load() == 0, nil
}
