package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

func init() { cases["bodies"] = runBodies }

const (
	bodyBytes     = 4_000_000
	memoryLimitMB = 284
	// usualCallers are the clients that the site file has in cairo-c, which has one machine. Each sends a small and a large request
	// in turn, which takes roundTime together.
	usualCallers = 17
	roundTime    = 11400 * time.Millisecond
	// hotFactor is how many times its usual the tenant sends, for hotTime.
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	// smallBody is the length of a body below which an answer has one event.
	smallBody = 100_000
	// firstEventDelay is the time from a large prompt to the first event, within the aim of 3 s.
	firstEventDelay = 2500 * time.Millisecond
)

// streamRunner answers each request with a stream of n events, after it has read the body.
type streamRunner struct {
	id    string
	rec   *recorder
	n     int
	pause time.Duration
	mu    sync.Mutex
	ran   map[string]int
	// leaving makes the runner say in its answers that it leaves.
	leaving bool
}

func (r *streamRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Arbutusfork-Request-Id")
	w.Header().Set("X-Arbutusfork-Request-Id", id)
	r.mu.Lock()
	isLeaving := r.leaving
	r.mu.Unlock()
	if isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if req.Header.Get("X-Arbutusfork-Expect-Instance") != r.id {
		w.Header().Set("X-Arbutusfork-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h := sha256.New()
	n, err := io.Copy(h, req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	r.rec.line("runner %s runs %s, body of %d bytes", r.id, id, n)
	w.Header().Set("X-Arbutusfork-Server-Signature", r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	events := r.n
	if n > 0 && n < smallBody {
		events = 1
	}
	if n >= smallBody {
		time.Sleep(firstEventDelay)
	}
	for i := 1; i <= events; i++ {
		if _, err := io.WriteString(w, afplatform.StreamEvent(id, i)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.pause):
		}
	}
}

func runBodies(rec *recorder, trouble bool) (int, string) {
	f, err := newFleet(rec, nil)
	if err != nil {
		return exitNotRun, err.Error()
	}
	defer f.close()
	config := plainConfig(3, []string{"gen"}, streamRoute("note", "gen"))
	config["tenants"] = []any{map[string]any{"name": "t1", "api-keys": []string{"k1"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 35260, "burst": 35260}}
	f.store.PutObject("config", "main", config)
	var runners []*streamRunner
	for i := range 3 {
		r := &streamRunner{id: fmt.Sprintf("i-%d", i+1), rec: rec, n: 57, pause: 150 * time.Millisecond, ran: map[string]int{}}
		l, s, err := f.serveRunner(100+i, r)
		if err != nil {
			return exitNotRun, err.Error()
		}
		defer s.Close()
		f.store.PutObject("servers", r.id, entry("gen", l.Addr().String(), "ready", time.Now().UnixMilli(), 0))
		runners = append(runners, r)
	}
	g, err := f.addGateway("front-1", "z1", memoryLimitMB, "")
	if err != nil || !g.waitReady(10*time.Second) {
		return exitNotRun, fmt.Sprint("gateway not ready ", err)
	}
	time.Sleep(2 * time.Second)
	callers, interval := usualCallers, roundTime/usualCallers
	if trouble {
		interval = time.Duration(float64(interval) / hotFactor)
		callers = int(hotTime / interval)
	}
	stop := make(chan struct{})
	killed, peak := false, 0
	var killedAt time.Time
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			m := g.memoryMB()
			peak = max(peak, m)
			if m > memoryLimitMB && !killed {
				killed, killedAt = true, time.Now()
				rec.line("front-1 uses %d MB of %d and is killed by the platform", m, memoryLimitMB)
				g.signal(syscall.SIGKILL)
			}
		}
	})
	var wg sync.WaitGroup
	var got answers
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Timeout: 30 * time.Second}
			time.Sleep(time.Duration(i) * interval)
			// Small and large requests in turn. The first one opens the channel; the others use it again.
			for k := range 4 {
				a := callBody(rec, client, g, fmt.Sprintf("c%02d-%d", i, k), k%2 == 1)
				got.add(a)
				if a.err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	watch.Wait()
	whole, refused, cut, lost := 0, 0, 0, 0
	for id, a := range got.byID {
		ran := 0
		for _, r := range runners {
			ran += r.ran[id]
		}
		switch {
		case a.status == http.StatusOK && a.err == nil:
			whole++
		case a.err == nil:
			refused++
		case ran > 0 && !strings.HasSuffix(id, "-0") && a.sent.Before(killedAt):
			if a.status != 0 {
				cut++
				continue
			}
			lost++
			rec.line("LOST: %s on a kept channel ran at a sound runner and its caller got no answer, %v", id, a.err)
		}
	}
	res := fmt.Sprintf("callers %d, whole %d, refused %d, peak memory %d MB, killed %v, requests on kept channels that ran: without an answer %d, cut in the answer %d", callers, whole, refused, peak, killed, lost, cut)
	switch {
	case whole < 10:
		return exitNotRun, res
	case lost > 3:
		return exitBroken, res
	}
	return exitHeld, res
}

// callBody sends a request with a large or a small body.
func callBody(rec *recorder, client *http.Client, g *gateway, id string, isLarge bool) answer {
	size := 1000
	if isLarge {
		size = bodyBytes
	}
	return callWith(rec, client, g, http.MethodPost, "/note/1", id, 30*time.Second, func(r *http.Request) {
		r.Header.Set("X-Arbutusfork-Token-Usage", "1460,80")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("x"), size))), int64(size)
	})
}
