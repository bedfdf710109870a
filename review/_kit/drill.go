package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drill"] = runDrill }

// drainBound is drain-ms.
const drainBound = 2 * time.Second

// runDrill lets the store come back from an older copy after a runner, which started a second time under its id, has begun to
// leave.
func runDrill(rec *recorder, trouble bool) (int, string) {
	f, err := newFleet(rec, nil)
	if err != nil {
		return exitNotRun, err.Error()
	}
	defer f.close()
	f.store.PutObject("config", "main", plainConfig(3, []string{"gen"}, streamRoute("note", "gen")))
	var mu sync.Mutex
	var runners []*streamRunner
	leavingServer := func() {}
	born := time.Now().UnixMilli()
	addresses := map[string]string{}
	write := func(id, state string, born int64) {
		f.store.PutObject("servers", id, entry("gen", addresses[id], state, born, 0))
	}
	for i := range 3 {
		r := &streamRunner{id: fmt.Sprintf("i-%d", i+1), rec: rec, n: streamEvents, pause: eventPause, ran: map[string]int{}}
		l, s, err := f.serveRunner(100+i, r)
		if err != nil {
			return exitNotRun, err.Error()
		}
		defer s.Close()
		runners, addresses[r.id] = append(runners, r), l.Addr().String()
		if i == 0 {
			leavingServer = func() { _ = s.Close() }
		}
		write(r.id, "ready", born)
	}
	for i := range 3 {
		if _, err := f.addGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i+1), 284, ""); err != nil {
			return exitNotRun, err.Error()
		}
	}
	for _, g := range f.gateways {
		if !g.waitReady(10 * time.Second) {
			return exitNotRun, "gateway not ready"
		}
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var got answers
	heard := map[string]time.Time{} // heard is when a gateway had first passed on a whole answer with Server-Leaving.
	end := time.Now().Add(19 * time.Second)
	for i, g := range f.gateways {
		for c := range 36 {
			wg.Go(func() {
				time.Sleep(time.Duration(3*c+i) * 38 * time.Millisecond)
				keepStreaming(rec, g, fmt.Sprintf("r%d-%d", i, c), "/note/1", end, func(a answer) {
					got.add(a)
					mu.Lock()
					defer mu.Unlock()
					if a.leaving && heard[g.name].IsZero() {
						heard[g.name] = a.done
					}
				})
			})
		}
	}
	time.Sleep(5 * time.Second)
	leaving := runners[0]
	rec.line("%s starts again under its id", leaving.id)
	restartedAt := time.Now()
	second := time.Now().UnixMilli()
	write(leaving.id, "ready", second)
	time.Sleep(2500 * time.Millisecond)
	rec.line("%s begins to leave: it says so in its answers, and reports it to the store after a second", leaving.id)
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	time.Sleep(time.Second)
	write(leaving.id, "draining", second)
	acceptedAt := time.Now()
	rec.line("the store has accepted that %s drains", leaving.id)
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		age := time.Since(restartedAt) + 300*time.Millisecond
		rec.line("the store goes away")
		f.store.GoAway()
		time.Sleep(600 * time.Millisecond)
		f.store.ComeBack(age)
		rec.line("the store is back from a copy of %v before it went away", age.Round(time.Millisecond))
	} else {
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(1100 * time.Millisecond)
	write(leaving.id, "draining", second)
	rec.line("%s has written its entry again with its next heartbeat", leaving.id)
	time.Sleep(time.Second)
	rec.line("%s exits, %v after the store accepted that it drains", leaving.id, time.Since(acceptedAt).Round(time.Millisecond))
	leavingServer()
	f.store.RemoveObject("servers", leaving.id)
	wg.Wait()
	whole, late, lateAfterAnswer, lost := 0, 0, 0, 0
	for id, a := range got.byID {
		if isWholeStream(a) {
			whole++
		}
		if leaving.ran[id] == 0 || a.sent.Sub(acceptedAt) <= drainBound {
			continue
		}
		late++
		rec.line("BROKEN: %s was sent to %s %v after the store accepted that %s drains, and ran there", id, a.gateway, a.sent.Sub(acceptedAt).Round(time.Millisecond), leaving.id)
		if !heard[a.gateway].IsZero() && a.sent.Sub(heard[a.gateway]) > drainBound {
			rec.line("BROKEN: %v before, %s had passed on an answer with Server-Leaving", a.sent.Sub(heard[a.gateway]).Round(time.Millisecond), a.gateway)
			lateAfterAnswer++
		}
		if !isWholeStream(a) {
			lost++
			rec.line("LOST: the caller of %s got %d, %d bytes, %v", id, a.status, len(a.body), a.err)
		}
	}
	res := fmt.Sprintf("whole streams %d; ran at the leaving runner more than 2 s after the store accepted that it drains: %d, of these at machines that had passed on Server-Leaving: %d, cut when it exited: %d", whole, late, lateAfterAnswer, lost)
	switch {
	case whole < 100:
		return exitNotRun, res
	case late > 0:
		return exitBroken, res
	}
	return exitHeld, res
}
