package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// partCase is a case with a part of prompts that crashes the runners that begin to answer it.
type partCase struct {
	// engines is the number of runners, and streams that of sound streams a second.
	engines int
	streams float64
	// first is the time to the first event of a stream, and gap the time between two of its events.
	first, gap time.Duration
	events     int
	// partEvery is the time between two requests with the part, and downTime how long a runner is gone.
	partEvery, downTime time.Duration
	length              time.Duration
	// before are parts before the one that crashes.
	before []string
	// crash crashes the runner of a request as it begins to answer.
	crash func(c *call, down time.Duration)
}

const badPart = "badc0de"

// maxLate is the number of requests with the part that may reach runners later than contactTime after the fifth crash.
const maxLate = 3

func init() {
	torn := func(c *call, down time.Duration) {
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Ty")
		time.Sleep(20 * time.Millisecond)
		c.runner.crash(down)
	}
	head := func(c *call, down time.Duration) {
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+c.id+"\r\n"+headerSigned+": "+c.runner.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		c.runner.crash(down)
	}
	normal := partCase{
		engines: 9, streams: 29, first: 300 * time.Millisecond, gap: 25 * time.Millisecond, events: 57, partEvery: 2500 * time.Millisecond, downTime: 3 * time.Second,
		length: 80 * time.Second, before: []string{sharedPart, documentPart}, crash: head,
	}
	cases["part"] = normal.run
	busy := normal
	busy.engines, busy.streams, busy.first, busy.gap, busy.events, busy.partEvery, busy.length = 3, 45, 200*time.Millisecond, 60*time.Millisecond, 30, 4*time.Second, 88*time.Second
	cases["part-busy"] = busy.run
	busy.crash = torn
	cases["part-torn"] = busy.run
	events := func(c *call, down time.Duration) {
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+c.id+"\r\n"+headerSigned+": "+c.runner.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(streamEvent(c.id, 1))+chunk(streamEvent(c.id, 2)))
		time.Sleep(20 * time.Millisecond)
		c.runner.crash(down)
	}
	dark := func(c *call, down time.Duration) {
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+c.id+"\r\n"+headerSigned+": "+c.runner.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		c.runner.goDark(down)
	}
	e := normal
	e.crash = events
	cases["part-events"] = e.run
	d := normal
	d.crash = dark
	cases["part-dark"] = d.run
	long := normal
	for i := range 34 {
		long.before = append(long.before, fmt.Sprintf("7e%06x", i))
	}
	cases["part-long"] = long.run
}

func (k partCase) run(f *fleet, isTrouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	stream := func(c *call) bool {
		if c.hasPart(badPart) {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			if isTrouble {
				time.Sleep(k.first)
				k.crash(c, k.downTime)
				return false
			}
		}
		return c.stream(k.events, k.first, k.gap)
	}
	if err := f.addRunners(k.engines, 0, stream, nil); err != nil {
		return false, err
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	prompt := func(own string, extra ...string) []string {
		return append(append(append([]string{}, k.before...), extra...), own)
	}
	var sound, soundOK atomic.Int64
	t := &traffic{stop: make(chan struct{})}
	t.every(k.streams, func(n int) {
		sound.Add(1)
		if a := f.send(talk(fmt.Sprintf("s-%d", n), n, prompt(fmt.Sprintf("a%05x", n))...)); a.status == 200 && a.err == nil {
			soundOK.Add(1)
		}
	})
	time.Sleep(2 * time.Second)
	t.pending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(k.partEvery):
			}
			t.pending.Go(func() { f.send(talk(fmt.Sprintf("bad-%d", n), n, prompt(fmt.Sprintf("b%05x", n), badPart)...)) })
		}
	})
	time.Sleep(k.length)
	t.end()
	f.mu.Lock()
	crashes := f.crashes
	f.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range arrivals {
			if at.Sub(crashes[4]) > contactTime {
				late++
			}
		}
	}
	f.rec.report("%d of %d sound requests served; %d crashes; %d requests with the part reached runners, %d of them later than %v after the fifth crash", soundOK.Load(), sound.Load(), len(crashes), len(arrivals), late, contactTime)
	return late <= maxLate, nil
}
