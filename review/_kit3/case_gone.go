package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = runGone }

// drainTime is drain-ms of the site.
const drainTime = 2 * time.Second

// holder returns the gateway that the record of the placement lease names.
func (f *fleet) holder() (*gateway, int, error) {
	text := f.store.ObjectText("leases", "placement")
	for i, g := range f.gateways {
		if strings.Contains(text, g.name+"/") {
			return g, i, nil
		}
	}
	return nil, 0, errors.New("the record of the lease names no gateway: " + text)
}

// runGone checks DRAIN: a machine in touch sends no request to a runner later than drainTime after the store acknowledged that it is gone.
// The machines that hold the lease are cut off from the store, one after the other, for some seconds each. When all have been in touch
// again for a while, the process of the present holder is killed, and a runner leaves that never says that it drains.
func runGone(f *fleet, isTrouble bool) (bool, error) {
	const (
		cuts       = 1
		cutTime    = 9 * time.Second
		cutPause   = time.Second
		calmTime   = 7 * time.Second // calmTime is more than contactTime.
		serveOn    = 3 * time.Second // serveOn is how long the runner serves after its entry is gone: drain-ms and a little longer.
		killToGone = 100 * time.Millisecond
	)
	var mu sync.Mutex
	sentAt, sentTo, late := map[string]time.Time{}, map[string]int{}, map[string]bool{}
	var goneAt time.Time
	var gone, busiest *runner // busiest is the runner that got the latest request.
	killed, broken, cut := -1, 0, 0
	stream := func(c *call) bool {
		mu.Lock()
		sent, vm := sentAt[c.id], sentTo[c.id]
		busiest = c.runner
		if c.runner == gone && sent.Sub(goneAt) > drainTime && vm != killed {
			broken++
			late[c.id] = true
			f.rec.line("broken DRAIN: %s, sent to %s %v after the entry of %s was removed, runs there", c.id, f.gateways[vm].name, sent.Sub(goneAt).Round(time.Millisecond), c.runner.id)
		}
		mu.Unlock()
		return c.stream(25, 80*time.Millisecond, 40*time.Millisecond)
	}
	if err := f.addRunners(3, 0, stream, nil); err != nil {
		return false, err
	}
	f.hasProxies = true
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	t := &traffic{stop: make(chan struct{})}
	t.every(80, func(n int) {
		id, vm := fmt.Sprintf("t-%d", n), n%vmCount
		mu.Lock()
		sentAt[id], sentTo[id] = time.Now(), vm
		mu.Unlock()
		q := talk(id, vm, sharedPart, documentPart, fmt.Sprintf("%07x", n))
		q.path = "/note/x"
		a := f.send(q)
		mu.Lock()
		defer mu.Unlock()
		if late[id] && (a.err != nil || a.status != 200) {
			cut++
			f.rec.line("cut: %s, status %d, %v", id, a.status, a.err)
		}
	})
	time.Sleep(2 * time.Second)
	if isTrouble {
		for range cuts {
			first, _, err := f.holder()
			if err != nil {
				return false, err
			}
			spec := configSpec()
			spec["version"] = 9
			f.store.PutObject("config", "main", spec)
			f.rec.line("the operator writes version 9")
			time.Sleep(50 * time.Millisecond)
			f.rec.line("%s, which holds the lease, is cut off from the store", first.name)
			first.proxy.isCut.Store(true)
			time.Sleep(cutTime)
			first.proxy.isCut.Store(false)
			f.rec.line("%s reaches the store again", first.name)
			time.Sleep(cutPause)
		}
		time.Sleep(calmTime)
		second, i, err := f.holder()
		if err != nil {
			return false, err
		}
		f.rec.line("%s, which holds the lease now, is killed", second.name)
		mu.Lock()
		killed = i
		mu.Unlock()
		_ = second.cmd.Process.Kill()
		<-second.exited
	} else {
		time.Sleep(cuts*(cutTime+cutPause) + calmTime)
	}
	time.Sleep(killToGone)
	mu.Lock()
	r := busiest
	mu.Unlock()
	f.store.RemoveObject("servers", r.id)
	mu.Lock()
	gone, goneAt = r, time.Now()
	mu.Unlock()
	f.rec.line("the store has removed the entry of %s", r.id)
	time.Sleep(serveOn)
	f.rec.line("%s exits", r.id)
	r.shut()
	time.Sleep(2 * time.Second)
	t.end()
	mu.Lock()
	defer mu.Unlock()
	f.rec.report("%d requests reached a runner that machines in touch had to leave alone; %d of their streams were cut as it exited", broken, cut)
	return broken == 0, nil
}
