package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runParts sends three requests on each kept channel without waiting for the answers: one in chunks, one whose body holds an empty line,
// and one with a body of its own. Trouble is where the network cuts them: inside the empty line that ends the second head.
func runParts(f *fleet, isTroubled bool) (int, error) {
	const channels = 10
	var mu sync.Mutex
	sent, bodies := map[string]string{}, map[string]string{}
	f.writeConfig(3, map[string]float64{"m0": 34300})
	for range 3 {
		e := &engine{service: "app", eventInterval: 10 * time.Millisecond, onBody: func(id, body string) {
			mu.Lock()
			defer mu.Unlock()
			bodies[id] = body
		}}
		if err := f.addEngine(e); err != nil {
			return notRun, err
		}
	}
	if err := f.addMachines(2); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	answered := 0
	for i := range channels {
		conn, err := net.Dial("tcp", f.callersAddress(f.machines[i%2]))
		if err != nil {
			return notRun, err
		}
		ids := [3]string{newRequestID(), newRequestID(), newRequestID()}
		head := func(id, framing string) string {
			return "POST /pay/x HTTP/1.1\r\nHost: review.example\r\nX-Arbutusfork-Request-Id: " + id +
				"\r\nX-Arbutusfork-Deadline-Ms: 1500\r\nAuthorization: Bearer key-one\r\n" + framing + "\r\n\r\n"
		}
		second, third := "note="+strings.Repeat("a", 300)+"\r\n\r\namount=1", "amount=2"+strings.Repeat("b", 200)
		mu.Lock()
		sent[ids[0]], sent[ids[1]], sent[ids[2]] = "amount=0", second, third
		mu.Unlock()
		first := head(ids[0], "Transfer-Encoding: chunked") + "8\r\namount=0\r\n0\r\n\r\n"
		secondHead := head(ids[1], fmt.Sprintf("Content-Length: %d", len(second)))
		rest := second + head(ids[2], fmt.Sprintf("Content-Length: %d", len(third))) + third
		cut := len(secondHead)
		if isTroubled {
			cut -= 2 // Before the empty line.
		}
		f.record.printf("channel %d: sent %s, %s and %s", i+1, ids[0], ids[1], ids[2])
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.WriteString(conn, first+secondHead[:cut])
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(conn, secondHead[cut:]+rest)
		r := bufio.NewReader(conn)
		for _, id := range ids {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				f.record.printf("%s got no answer: %v", id, err)
				break
			}
			text, _ := io.ReadAll(resp.Body)
			f.record.printf("%s answered: status %d, %.80q", id, resp.StatusCode, text)
			answered++
		}
		_ = conn.Close()
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	changed := 0
	for id, body := range bodies {
		if sent[id] != body {
			changed++
			f.record.printf("%s runs with another body: sent %q, run %q", id, sent[id], body)
		}
	}
	return f.verdict(changed > 0, "%d of %d requests ran with another body than the consumer sent; %d of %d answered", changed, len(bodies), answered, 3*channels), nil
}
