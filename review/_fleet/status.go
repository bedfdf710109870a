package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runStatus sends requests that may run once on kept channels to a service that answers with a status of its own. Without trouble, its
// status is a registered one.
func runStatus(f *fleet, isTroubled bool) (int, error) {
	const channels, requests, ownStatus = 10, 3, 419
	status := http.StatusConflict
	if isTroubled {
		status = ownStatus
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	f.writeConfig(3, map[string]float64{"m0": 34300})
	for range 3 {
		e := &engine{service: "app", eventInterval: 30 * time.Millisecond, status: status, onArrival: func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			ran[a.requestID] = a.ran
		}}
		if err := f.addEngine(e); err != nil {
			return notRun, err
		}
	}
	if err := f.addMachines(2); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	answered, unanswered, falseHeads := 0, 0, 0
	for i := range channels {
		conn, err := net.Dial("tcp", f.callersAddress(f.machines[i%2]))
		if err != nil {
			return notRun, err
		}
		r := bufio.NewReader(conn)
		for range requests {
			id := newRequestID()
			_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
			f.record.printf("%s sent on channel %d: POST /pay/x", id, i+1)
			_, _ = fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: review.example\r\nX-Arbutusfork-Request-Id: %s\r\nX-Arbutusfork-Deadline-Ms: 1500\r\nAuthorization: Bearer key-one\r\nContent-Length: 2\r\n\r\n{}", id)
			resp, err := http.ReadResponse(r, nil)
			mu.Lock()
			hasRun := ran[id]
			mu.Unlock()
			if err != nil {
				f.record.printf("%s got no answer: %v; run %t", id, err, hasRun)
				if hasRun {
					unanswered++
				}
				break
			}
			text, err := io.ReadAll(resp.Body)
			isWhole := err == nil
			f.record.printf("%s answered: status %d, %q, whole %t; run %t", id, resp.StatusCode, text, isWhole, hasRun)
			if !isWhole {
				if unanswered++; resp.StatusCode == http.StatusOK {
					falseHeads++
				}
				break
			}
			answered++
		}
		_ = conn.Close()
	}
	return f.verdict(unanswered > 3, "%d requests ran and their channel was closed without a whole answer, %d of them after the head of a 200; %d of %d answered", unanswered, falseHeads, answered, channels*requests), nil
}
