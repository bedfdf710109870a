package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["odd"] = runOdd }

// runOdd lets another writer replace a runner's entry by one with missing fields.
func runOdd(rec *recorder, trouble bool) (int, string) {
	f, err := newFleet(rec, nil)
	if err != nil {
		return exitNotRun, err.Error()
	}
	defer f.close()
	f.store.PutObject("config", "main", plainConfig(3, []string{"stock", "orders"}, plainRoute("look", "safe", "stock", 2), plainRoute("pay", "unsafe", "orders", 1)))
	addresses := map[string]string{}
	born := time.Now().UnixMilli()
	var mu sync.Mutex
	wrong := 0
	for i, service := range []string{"stock", "stock", "orders", "orders"} {
		r := &plainRunner{id: fmt.Sprintf("i-%d", i+1), service: service, work: 30 * time.Millisecond, rec: rec, ran: map[string]int{}}
		r.onRun = func(r *plainRunner, id string, req *http.Request) {
			if strings.HasPrefix(req.URL.Path, "/pay/") != (r.service == "orders") {
				rec.line("BROKEN: %s of a route to another service runs at %s of %s", id, r.id, r.service)
				mu.Lock()
				wrong++
				mu.Unlock()
			}
		}
		l, s, err := f.serveRunner(100+i, r)
		if err != nil {
			return exitNotRun, err.Error()
		}
		defer s.Close()
		addresses[r.id] = l.Addr().String()
		f.store.PutObject("servers", r.id, entry(service, addresses[r.id], "ready", born, 1))
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
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	served := 0
	for i, g := range f.gateways {
		wg.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second}
			for k := 0; time.Now().Before(end); k++ {
				path := []string{"/pay/1", "/look/1"}[k%2]
				method := []string{http.MethodPost, http.MethodGet}[k%2]
				if a := call(rec, client, g, method, path, fmt.Sprintf("r%d-%d", i, k), 1500*time.Millisecond); a.status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		// Another writer's entry: zone, version, cold-remaining-ms, seq and born are missing.
		rec.line("another writer replaces servers/i-1")
		f.store.PutObject("servers", "i-1", map[string]any{"service": "orders", "address": addresses["i-1"], "slots": 6, "state": "ready"})
		time.Sleep(1200 * time.Millisecond)
		rec.line("the runner i-1 writes its entry again")
		f.store.PutObject("servers", "i-1", entry("stock", addresses["i-1"], "ready", born, 2))
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	res := fmt.Sprintf("served %d, run by the wrong service %d", served, wrong)
	switch {
	case served < 50:
		return exitNotRun, res
	case wrong > 0:
		return exitBroken, res
	}
	return exitHeld, res
}
