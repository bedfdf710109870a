package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// badPart crashes each engine that begins to write an answer on it.
	badPart = "deadbeef"
	// badInterval is the time between two requests with that part.
	badInterval = 10500 * time.Millisecond
	badCount    = 7
)

// runCrash plays requests with a part that crashes engines beside sound ones. A crashed engine has sent no byte of the answer.
func runCrash(f *fleet, isTroubled bool) (int, error) {
	return playCrashes(f, isTroubled, false, false)
}

// runCrashRestart plays the same with engines that send the head of the answer first. All gateways are killed and started again after
// the fourth crash.
func runCrashRestart(f *fleet, isTroubled bool) (int, error) {
	return playCrashes(f, true, true, isTroubled)
}

// playCrashes plays the requests with the part.
func playCrashes(f *fleet, crashes, sendsHead, killsGateways bool) (int, error) {
	var mu sync.Mutex
	var reached []arrival
	f.writeConfig(3, map[string]float64{"m0": 34300})
	for range 9 {
		e := &engine{
			service: "llm", memoryMB: 200000, modelMB: map[string]float64{"m0": 34300}, loadTime: 420 * time.Millisecond, tokensPerMs: 25.8,
			eventInterval: 26 * time.Millisecond, restartTime: 2 * time.Second,
			onArrival: func(a arrival) {
				mu.Lock()
				defer mu.Unlock()
				if a.ran && hasPart(a.parts, badPart) {
					reached = append(reached, a)
				}
			},
		}
		if e.sendsHead = sendsHead; crashes {
			e.crashPart = badPart
		}
		if err := f.addEngine(e, "m0"); err != nil {
			return notRun, err
		}
	}
	if err := f.addMachines(3); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch from now on.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	sound, served := 0, 0
	var cutAt []time.Time // cutAt holds when sound streams that may not be repeated broke off.
	newRequest := func(parts string) request {
		return request{
			method: "POST", path: "/tag/x", key: "key-one", model: "m0", parts: parts, promptTokens: 646, outputTokens: 69, timeout: 8 * time.Second, body: "{}",
		}
	}
	ownPart := func() string { return fmt.Sprintf("%08x", rand.Uint32()) }
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
			}
			wg.Go(func() {
				q := newRequest("5c1e07a2:93,91bd3f06:62," + ownPart() + ":491")
				isLong := rand.IntN(2) == 0
				if isLong {
					q.path, q.outputTokens, q.timeout = "/rewrite/x", 300, 30*time.Second
				}
				resp := f.send(f.machines[rand.IntN(3)], q)
				mu.Lock()
				defer mu.Unlock()
				sound++
				switch {
				case resp.status == 200 && resp.isComplete:
					served++
				case isLong && resp.status == 200:
					cutAt = append(cutAt, time.Now())
					f.record.printf("%s is lost: cut in the middle of its answer", resp.id)
				}
			})
		}
	})
	for i := range badCount {
		wg.Go(func() {
			f.send(f.machines[rand.IntN(3)], newRequest("5c1e07a2:93,"+badPart+":62,"+ownPart()+":200"))
		})
		time.Sleep(badInterval / 2)
		if killsGateways && i == 1 {
			if err := f.restartAll(); err != nil {
				return notRun, err
			}
		}
		time.Sleep(badInterval / 2)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.record.printf("sound requests: %d, served whole: %d", sound, served)
	if !crashes {
		return f.verdict(served*10 < sound*9, "no part crashes engines; %d of %d sound requests served", served, sound), nil
	}
	if len(reached) < 5 {
		return f.verdict(false, "only %d requests with the part reached engines", len(reached)), nil
	}
	// Each request that reaches an engine crashes it, so that the fifth one is the fifth crash.
	fifth := reached[4].at
	late := 0
	for _, a := range reached[5:] {
		if a.at.After(fifth.Add(contactTime)) {
			late++
			f.record.printf("request %s reached %s %.1f s after the fifth crash", a.requestID, a.engine, a.at.Sub(fifth).Seconds())
		}
	}
	lost := 0
	for _, at := range cutAt {
		if at.After(fifth.Add(contactTime)) {
			lost++
		}
	}
	return f.verdict(late > 3, "%d requests with the part reached engines later than contact-ms after the fifth crash, and cut %d accepted streams of others; %d in all; %d of %d sound requests served", late, lost, len(reached), served, sound), nil
}
