package afsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	limitedCustomer = "limited"
	callTimeout     = 8 * time.Second
)

var modelNames = []string{"m1", "m2", "m3", "m4", "m5"}

// call is one request and what came of it.
type call struct {
	id, path, key, customer string
	vm                      *vm
	sent, ended             time.Time
	// calm is for how long the VM had been unharmed when the request was sent.
	calm   time.Duration
	life   int
	status int
	body   string
	whole  bool
	err    error
}

// callers send requests over connections that they keep open until they break.
type callers struct {
	fleet *fleet
	seed  uint64

	mu    sync.Mutex
	calls []call
	n     int
}

func (c *callers) run(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(index)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	v := c.fleet.vms[index%len(c.fleet.vms)]
	for ctx.Err() == nil {
		c.once(random, client, v)
		pause := time.Duration(10+random.IntN(60)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *callers) once(random *rand.Rand, client *http.Client, v *vm) {
	c.mu.Lock()
	c.n++
	x := call{id: fmt.Sprintf("r%05d", c.n), vm: v}
	c.mu.Unlock()
	keys := []string{"key-one", "key-two", "key-limited", "key-never"}
	customers := []string{"one", "two", limitedCustomer, ""}
	k := min(random.IntN(13)/4, 3)
	x.key, x.customer = keys[k], customers[k]
	x.path = []string{"/talk/", "/note/", "/pay/", "/look/"}[random.IntN(4)] + "x"
	method := http.MethodPost
	if strings.HasPrefix(x.path, "/look/") {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+v.ip+afplatform.CallersPort+x.path, bytes.NewReader([]byte("hello")))
	if err != nil {
		c.fleet.violation("SOAK", "request not made: %v", err)
		return
	}
	r.Host = "soak.example"
	head := afplatform.RequestHeaders{RequestID: x.id, APIKey: x.key, Timeout: streamTimeout, PromptTokens: requestTokens * 2 / 3, OutputTokens: requestTokens / 3}
	if strings.HasPrefix(x.path, "/talk/") || strings.HasPrefix(x.path, "/note/") {
		head.Model = modelNames[random.IntN(len(modelNames))]
	}
	head.SetOn(r.Header)
	x.sent = time.Now()
	x.calm = v.calmFor(x.sent)
	v.mu.Lock()
	x.life = v.lives
	v.mu.Unlock()
	resp, err := client.Do(r)
	if err != nil {
		x.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // The body was read or is broken.
		x.status, x.body, x.whole, x.err = resp.StatusCode, string(body), err == nil, err
		if x.status == http.StatusOK && !afplatform.HasSignature(resp.Header) {
			c.fleet.violation("MIXED", "request %s: success without a signature", x.id)
		}
	}
	x.ended = time.Now()
	c.check(x)
	c.mu.Lock()
	c.calls = append(c.calls, x)
	c.mu.Unlock()
}

// check judges what the caller saw of one request.
func (c *callers) check(x call) {
	if x.status == http.StatusOK {
		if strings.HasPrefix(x.path, "/pay/") || strings.HasPrefix(x.path, "/look/") {
			if x.whole && x.body != "done "+x.id {
				c.fleet.violation("MIXED", "request %s: answer %q", x.id, x.body)
			}
		} else {
			c.checkStream(x)
		}
		if x.customer == "" {
			c.fleet.violation("ROUTE", "request %s was served with a key that never was", x.id)
		}
	}
	if x.customer != "" && (x.status == http.StatusNotFound || x.status == http.StatusUnauthorized) && c.inForce(x.key) {
		c.fleet.violation("DENIED", "request %s at %s: status %d for a key in force", x.id, x.vm.name, x.status)
	}
}

func (c *callers) inForce(key string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	_, ok := c.fleet.keys[key]
	return ok && key != revokedKey
}

func (c *callers) checkStream(x call) {
	want := ""
	for i := 1; i <= streamParts; i++ {
		want += afplatform.StreamEvent(x.id, i)
	}
	if !strings.HasPrefix(want, x.body) {
		c.fleet.violation("ORDER", "request %s: stream %q", x.id, x.body)
	}
	if x.whole && x.body != want {
		c.fleet.violation("ORDER", "request %s: a stream of %d bytes ended as complete", x.id, len(x.body))
	}
}
