package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerID      = "X-Arbutusfork-Request-Id"
	headerSigned  = "X-Arbutusfork-Server-Signature"
	headerNotRun  = "X-Arbutusfork-Not-Executed"
	headerExpect  = "X-Arbutusfork-Expect-Instance"
	headerModel   = "X-Arbutusfork-Model"
	headerParts   = "X-Arbutusfork-Prompt-Prefix"
	headerLastID  = "Last-Event-Id"
	headerTimeout = "X-Arbutusfork-Deadline-Ms"
	headerTokens  = "X-Arbutusfork-Token-Usage"
)

// call is one request at a runner, on a connection that it has for itself.
type call struct {
	runner *runner
	conn   net.Conn
	r      *http.Request
	body   []byte
	id     string
}

// runner is a stand-in of one runner. It speaks the published protocol over plain connections, so that a case decides about each byte.
type runner struct {
	fleet             *fleet
	id, service, zone string
	address           string
	slots             int
	// answer answers a request that the runner runs. It returns false if the connection ends with it.
	answer func(c *call) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	models   []string
	disk     []string
	seq      int64
	busy     bool
	running  int
	isDown   bool
	isDark   bool
}

// addRunner starts a runner and writes its entry.
func (f *fleet) addRunner(service string, number int, models []string, answer func(c *call) bool) error {
	zones := []string{"cairo-a", "cairo-b", "cairo-c"}
	r := &runner{
		fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%len(zones)], address: "127.0.0.1:0", slots: 6, answer: answer,
		models: models, disk: slices.Clone(models),
	}
	if service == engineName {
		r.slots = 64
	}
	if err := r.listen(); err != nil {
		return err
	}
	f.runners = append(f.runners, r)
	r.writeEntry()
	return nil
}

// listen begins a lifetime of the runner.
func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.listener, r.conns, r.born, r.isDown = l.Addr().String(), l, map[net.Conn]bool{}, time.Now().UnixMilli(), false
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			if r.listener != l {
				r.mu.Unlock()
				_ = c.Close()
				continue
			}
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

// describe returns what the runner says of itself.
func (r *runner) describe() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := []any{}
	for _, m := range r.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	spec := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "cold-remaining-ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.service == engineName {
		for k, v := range map[string]any{
			"models": models, "busy": r.busy, "stage": "both", "waiting": 0, "running": r.running, "kv-used": 1500 * r.running, "kv-total": 142642, "handles": 0,
			"coming": []string{}, "at-hand": map[string]any{"in-memory": []string{}, "on-disk": r.disk},
		} {
			spec[k] = v
		}
	}
	return spec
}

func (r *runner) writeEntry() { r.fleet.store.PutObject("servers", r.id, r.describe()) }

// crash ends the lifetime of the runner as the end of its process does: nothing listens any more, and all connections are reset. The
// runner is back after down, empty, under the same id.
func (r *runner) crash(down time.Duration) {
	r.mu.Lock()
	if r.isDown {
		r.mu.Unlock()
		return
	}
	r.isDown = true
	_ = r.listener.Close()
	conns := r.conns
	r.conns, r.listener = map[net.Conn]bool{}, nil
	r.mu.Unlock()
	for c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.fleet.mu.Lock()
	r.fleet.crashes = append(r.fleet.crashes, time.Now())
	n := len(r.fleet.crashes)
	r.fleet.mu.Unlock()
	r.fleet.rec.line("crash %d: runner %s, %d connections", n, r.id, len(conns))
	time.AfterFunc(down, func() {
		r.mu.Lock()
		r.models, r.seq, r.busy, r.running = nil, 0, false, 0
		r.mu.Unlock()
		if err := r.listen(); err != nil {
			r.fleet.rec.line("runner %s cannot listen again: %v", r.id, err)
			return
		}
		r.writeEntry()
		r.fleet.rec.line("runner %s is back", r.id)
	})
}

// goDark ends the lifetime of the runner as the failure of its machine does: it reads and sends nothing, and its connections are reset
// when it is back after down, empty, under the same id.
func (r *runner) goDark(down time.Duration) {
	r.mu.Lock()
	if r.isDark {
		r.mu.Unlock()
		return
	}
	r.isDark = true
	r.mu.Unlock()
	time.AfterFunc(down, func() {
		r.mu.Lock()
		r.isDark = false
		r.mu.Unlock()
		r.crash(0)
	})
}

// awaitLight waits while the runner is dark.
func (r *runner) awaitLight() {
	for {
		r.mu.Lock()
		isDark := r.isDark
		r.mu.Unlock()
		if !isDark {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *runner) shut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDown = true
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.awaitLight()
		if !r.handle(&call{runner: r, conn: c, r: req, body: body, id: req.Header.Get(headerID)}) || req.Close {
			return
		}
	}
}

// handle answers one call. It returns false if the connection ends with it.
func (r *runner) handle(c *call) bool {
	switch {
	case c.r.URL.Path == "/report":
		raw, _ := json.Marshal(r.describe()) // It holds only plain values.
		return c.write(http.StatusOK, "Content-Type: application/json\r\n", string(raw))
	case c.r.URL.Path == "/health":
		return c.write(http.StatusOK, "X-Arbutusfork-Instance-Id: "+r.id+"\r\n", "ok")
	case c.r.URL.Path == "/order":
		return r.order(c)
	}
	r.mu.Lock()
	isKnown := r.service != engineName || slices.Contains(r.models, c.r.Header.Get(headerModel))
	r.mu.Unlock()
	switch {
	case c.id == "":
		return c.write(http.StatusBadRequest, headerNotRun+": 1\r\n", "")
	case c.r.Header.Get(headerExpect) != "" && c.r.Header.Get(headerExpect) != r.id, !isKnown:
		return c.write(http.StatusMisdirectedRequest, headerNotRun+": 1\r\nX-Arbutusfork-Instance-Id: "+r.id+"\r\n", "")
	}
	r.fleet.rec.line("run %s at %s, parts %s", c.id, r.id, shortParts(c.r.Header.Get(headerParts)))
	r.mu.Lock()
	r.running++
	born := r.born
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		if r.born == born {
			r.running--
		}
		r.mu.Unlock()
	}()
	return r.answer(c)
}

// order carries out an order.
func (r *runner) order(c *call) bool {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fence"`
	}
	if err := json.Unmarshal(c.body, &o); err != nil || o.Holder == "" {
		return c.write(http.StatusBadRequest, "", "")
	}
	if expect := c.r.Header.Get(headerExpect); expect != "" && expect != r.id {
		return c.write(http.StatusMisdirectedRequest, "", "")
	}
	r.mu.Lock()
	status, loaded := http.StatusAccepted, slices.Contains(r.models, o.Model)
	switch {
	case r.busy || o.Expected != nil && *o.Expected != r.seq:
		status = http.StatusConflict
	case loaded == (o.Operation == "load"):
		status = http.StatusOK
	case o.Operation == "load":
		r.seq, r.busy = r.seq+1, true
		born, loadTime := r.born, 6*time.Second
		if slices.Contains(r.disk, o.Model) {
			loadTime = 600 * time.Millisecond
		}
		time.AfterFunc(loadTime, func() {
			r.mu.Lock()
			if r.born == born {
				r.busy, r.models = false, append(r.models, o.Model)
				if !slices.Contains(r.disk, o.Model) {
					r.disk = append(r.disk, o.Model)
				}
			}
			r.mu.Unlock()
			r.writeEntry()
		})
	default:
		r.seq++
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
	}
	r.mu.Unlock()
	r.fleet.rec.line("order %s %s at %s by %s with epoch %d: %d", o.Operation, o.Model, r.id, o.Holder, o.Fence, status)
	return c.write(status, "", "")
}

// write sends a whole answer.
func (c *call) write(status int, headers, body string) bool {
	id := ""
	if c.id != "" {
		id = headerID + ": " + c.id + "\r\n"
	}
	_, err := io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+id+headers+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// streamEvent returns an event of the stream of a request.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// stream sends the events of a stream, the first one after first and with the head, the others every gap.
func (c *call) stream(events int, first, gap time.Duration) bool {
	from, _ := strconv.Atoi(c.r.Header.Get(headerLastID)) // Without the header the stream begins with its first event.
	gone := make(chan struct{})
	go func() {
		_, _ = c.conn.Read(make([]byte, 1)) // The caller sends nothing more on the connection.
		close(gone)
	}()
	wait := first
	for n := from + 1; n <= events; n++ {
		select {
		case <-gone:
			return false
		case <-time.After(wait):
		}
		wait = gap
		c.runner.awaitLight()
		text := chunk(streamEvent(c.id, n))
		if n == from+1 {
			text = "HTTP/1.1 200 OK\r\n" + headerID + ": " + c.id + "\r\n" + headerSigned + ": " + c.runner.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + text
		}
		if _, err := io.WriteString(c.conn, text); err != nil {
			return false
		}
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n") // A failure shows at the caller.
	return false
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// hasPart reports whether the prompt of the request contains a part.
func (c *call) hasPart(id string) bool {
	for part := range strings.SplitSeq(c.r.Header.Get(headerParts), ",") {
		if name, _, _ := strings.Cut(strings.TrimSpace(part), ":"); name == id {
			return true
		}
	}
	return false
}

// shortParts shortens a long list of parts for the record.
func shortParts(parts string) string {
	const maxShown = 80
	if len(parts) > maxShown {
		return parts[:maxShown/2] + " .. " + parts[len(parts)-maxShown/2:]
	}
	return parts
}
