package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// holderName returns the name of the machine that last wrote the lease, or an empty string.
func (f *fleet) holderName() string {
	var lease struct{ Holder string }
	if json.Unmarshal([]byte(f.store.ObjectText("leases", "placement")), &lease) != nil {
		return ""
	}
	name, _, _ := strings.Cut(lease.Holder, "/")
	return name
}

// tokensRun is what a request that ran counts for its tenant.
type tokensRun struct {
	sentAt, ranAt time.Time
	tokens        int
}

// runQuota plays a tenant that sends more than its limit while the process that holds the lease is killed and started again.
func runQuota(f *fleet, isTroubled bool) (int, error) {
	const window, promptTokens, outputTokens = 8 * time.Second, 3900, 100
	const rate, machines, kills, gap, offered = 40000, 3, 4, 1700 * time.Millisecond, 3 // offered times the rate is sent.
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var ran []tokensRun
	f.rate = rate
	f.writeConfig(3, map[string]float64{"m0": 34300})
	for range 9 {
		e := &engine{
			service: "llm", memoryMB: 200000, modelMB: map[string]float64{"m0": 34300}, loadTime: 420 * time.Millisecond, tokensPerMs: 25.8,
			eventInterval: 26 * time.Millisecond, restartTime: 2 * time.Second, maxEvents: 6,
			onArrival: func(a arrival) {
				mu.Lock()
				defer mu.Unlock()
				if at, ok := sentAt[a.requestID]; ok && a.ran {
					ran = append(ran, tokensRun{at, a.at, promptTokens + outputTokens})
				}
			},
		}
		if err := f.addEngine(e, "m0"); err != nil {
			return notRun, err
		}
	}
	if err := f.addMachines(machines); err != nil {
		return notRun, err
	}
	time.Sleep(10 * time.Second)
	f.onSend = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		sentAt[id] = time.Now()
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		interval := time.Second * (promptTokens + outputTokens) / (rate * offered)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wg.Go(func() {
				f.send(f.machines[rand.IntN(machines)], request{
					method: "POST", path: "/tag/x", key: "key-one", model: "m0", parts: fmt.Sprintf("5c1e07a2:93,91bd3f06:62,%08x:3745", rand.Uint32()),
					promptTokens: promptTokens, outputTokens: outputTokens, timeout: 8 * time.Second, body: "{}",
				})
			})
		}
	})
	began := time.Now()
	time.Sleep(time.Second)
	for range kills {
		if isTroubled {
			name := f.holderName()
			for _, m := range f.machines {
				if m.name != name {
					continue
				}
				f.signal(m, syscall.SIGKILL)
				m.awaitEnd()
				time.Sleep(300 * time.Millisecond)
				if err := f.start(m); err != nil {
					return notRun, err
				}
			}
		} else {
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(gap)
	}
	time.Sleep(max(0, window+time.Second-time.Since(began)))
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for _, first := range ran {
		sum := 0
		for _, r := range ran {
			if !r.sentAt.Before(first.sentAt) && !r.ranAt.After(first.sentAt.Add(window)) {
				sum += r.tokens
			}
		}
		most = max(most, sum)
	}
	limit := int((rate*window.Seconds()+rate)*1.1) + 11000
	return f.verdict(most > limit, "most tokens in 8 s: %d, limit with its slack: %d; %d requests sent, %d ran", most, limit, len(sentAt), len(ran)), nil
}
