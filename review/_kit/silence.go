package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

func init() { cases["silence"] = runSilence }

const (
	// runnerSlots are the streams that a runner runs at once, and runnerQueue those that it queues besides.
	runnerSlots, runnerQueue = 12, 2
	// silenceTime is how long a sound runner is silent: a second or so.
	silenceTime = 1400 * time.Millisecond
)

// fullRunner runs resumable streams, and refuses those that it has no room for.
type fullRunner struct {
	id    string
	rec   *recorder
	slots chan struct{}

	mu sync.Mutex
	// inside counts the streams that run or wait.
	inside int
	// silentUntil is until when the runner sends nothing.
	silentUntil time.Time
	ran         map[string]int
}

func (r *fullRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Arbutusfork-Request-Id")
	w.Header().Set("X-Arbutusfork-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("X-Arbutusfork-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if req.Header.Get("X-Arbutusfork-Expect-Instance") != r.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	isFull := r.inside >= runnerSlots+runnerQueue
	if !isFull {
		r.inside++
	}
	r.mu.Unlock()
	if isFull {
		r.rec.line("runner %s is full and refuses %s", r.id, id)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inside--
	}()
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-req.Context().Done():
		return
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.rec.line("runner %s runs %s from event %d", r.id, id, from+1)
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	w.Header().Set("X-Arbutusfork-Server-Signature", r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= streamEvents; i++ {
		r.mu.Lock()
		silence := time.Until(r.silentUntil)
		r.mu.Unlock()
		select {
		case <-req.Context().Done():
			r.rec.line("runner %s drops %s, its channel is closed", r.id, id)
			return
		case <-time.After(max(silence, 0)):
		}
		if _, err := io.WriteString(w, afplatform.StreamEvent(id, i)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

// runSilence lets a sound runner be silent for a moment while the other runner has no room, beside a SIGHUP.
func runSilence(rec *recorder, trouble bool) (int, string) {
	f, err := newFleet(rec, nil)
	if err != nil {
		return exitNotRun, err.Error()
	}
	defer f.close()
	route := streamRoute("talk", "gen")
	route["resumable"], route["max-attempts"], route["target-latency-ms"], route["timeout-ms"] = true, 2, 500, 15000
	f.store.PutObject("config", "main", plainConfig(3, []string{"gen"}, route))
	var runners []*fullRunner
	for i := range 2 {
		r := &fullRunner{id: fmt.Sprintf("i-%d", i+1), rec: rec, slots: make(chan struct{}, runnerSlots), ran: map[string]int{}}
		l, s, err := f.serveRunner(100+i, r)
		if err != nil {
			return exitNotRun, err.Error()
		}
		defer s.Close()
		e := entry("gen", l.Addr().String(), "ready", time.Now().UnixMilli(), 0)
		e["slots"] = runnerSlots
		f.store.PutObject("servers", r.id, e)
		runners = append(runners, r)
	}
	for i := range 6 {
		if _, err := f.addGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i%3+1), 284, ""); err != nil {
			return exitNotRun, err.Error()
		}
	}
	for _, g := range f.gateways {
		if !g.waitReady(10 * time.Second) {
			return exitNotRun, "gateway not ready"
		}
	}
	time.Sleep(5 * time.Second)
	g := f.gateways[0]
	var got answers
	var wg sync.WaitGroup
	end := time.Now().Add(18 * time.Second)
	for c := range 2 * runnerSlots {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * 160 * time.Millisecond)
			keepStreaming(rec, g, fmt.Sprintf("r%02d", c), "/talk/1", end, got.add)
		})
	}
	time.Sleep(10 * time.Second)
	hangupAt := time.Now()
	rec.line("SIGHUP to %s", g.name)
	g.signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		rec.line("%s is silent for %v and goes on", runners[0].id, silenceTime)
		runners[0].mu.Lock()
		runners[0].silentUntil = time.Now().Add(silenceTime)
		runners[0].mu.Unlock()
	}
	wg.Wait()
	whole, refused, lost := 0, 0, 0
	for id, a := range got.byID {
		switch {
		case isWholeStream(a):
			whole++
		case a.err == nil:
			refused++
		case runners[0].ran[id]+runners[1].ran[id] > 0 && a.sent.Before(hangupAt.Add(2*time.Second)) && a.done.After(hangupAt):
			lost++
			rec.line("LOST: %s ran at a sound runner and was cut %v after the SIGHUP, %v after it was sent: %d bytes, %v",
				id, a.done.Sub(hangupAt).Round(time.Millisecond), a.done.Sub(a.sent).Round(time.Millisecond), len(a.body), a.err)
		}
	}
	res := fmt.Sprintf("whole streams %d, refused %d, cut beside the SIGHUP %d", whole, refused, lost)
	switch {
	case whole < 40:
		return exitNotRun, res
	case lost > 0:
		return exitBroken, res
	}
	return exitHeld, res
}
