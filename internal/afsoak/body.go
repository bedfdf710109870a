package afsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// maxBodyBytes is the largest body that the configuration allows.
	maxBodyBytes = 4 << 20
	// vmMemoryMB is the memory that the settings allow a VM.
	vmMemoryMB = 284
	// maxLargeBodies bounds the number of large bodies that are sent to a VM at once.
	maxLargeBodies = 90
	// dripChunk is sent every dripInterval by callers whose bodies drip.
	dripChunk, dripInterval = 1 << 10, 50 * time.Millisecond
	memoryCheckInterval     = 50 * time.Millisecond
)

// sendLargeBodies lets callers send large bodies to a VM, all at once, some of which drip at first or for good. In half of the cases an
// endpoint resets uploads meanwhile.
func (s *Soak) sendLargeBodies() {
	random := s.momentRandom
	v := s.fleet.vms[random.IntN(len(s.fleet.vms))]
	n := 10 + random.IntN(maxLargeBodies-10)
	s.logEvent("%d callers send large bodies to %s", n, v.name)
	if s.resetRandom.IntN(2) == 0 {
		s.resetUploads()
	}
	for range n {
		path := []string{"/talk/x", "/note/x", "/pay/x"}[random.IntN(3)]
		size, drip := maxBodyBytes/4+random.IntN(maxBodyBytes*3/4), time.Duration(0)
		if random.IntN(3) == 0 {
			drip = time.Duration(random.IntN(8000)) * time.Millisecond
		}
		delay, model := time.Duration(random.IntN(1000))*time.Millisecond, modelNames[random.IntN(len(modelNames))]
		s.recoveries.Go(func() {
			time.Sleep(delay)
			s.callers.sendLargeBody(v, path, model, size, drip)
		})
	}
}

// sendLargeBody sends a request whose body drips for a time and then comes at once.
func (c *callers) sendLargeBody(v *vm, path, model string, size int, drip time.Duration) {
	c.mu.Lock()
	c.callCount++
	req := call{id: fmt.Sprintf("r%05d", c.callCount), vm: v, path: path, key: "key-one", customer: "one", hasLargeBody: true}
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+v.ip+afplatform.CallersPort+path, &drippingBody{content: bytes.NewReader(make([]byte, size)), until: time.Now().Add(drip)})
	if err != nil {
		c.fleet.reportViolation("SOAK", "request not made: %v", err)
		return
	}
	r.ContentLength = int64(size)
	c.sendOnce(req, r, model)
}

// drippingBody gives small pieces with pauses until a time.
type drippingBody struct {
	content *bytes.Reader
	until   time.Time
}

func (d *drippingBody) Read(b []byte) (int, error) {
	if time.Now().Before(d.until) {
		time.Sleep(dripInterval)
		b = b[:min(len(b), dripChunk)]
	}
	return d.content.Read(b)
}

// Close ends the dripping.
func (d *drippingBody) Close() error { return nil }

var _ io.ReadCloser = (*drippingBody)(nil)

// watchMemory reports processes of VMs that use more memory than their settings allow, once for each.
func (s *Soak) watchMemory(ctx context.Context) {
	type process struct {
		vm  string
		pid int
	}
	reported, peak := map[process]bool{}, 0
	for waitFor(ctx, memoryCheckInterval) {
		for _, v := range s.fleet.vms {
			v.mu.Lock()
			p := process{v.name, v.cmd.Process.Pid}
			v.mu.Unlock()
			used := usedMemoryMB(p.pid)
			peak = max(peak, used)
			if used > vmMemoryMB && !reported[p] {
				reported[p] = true
				s.reportViolation("MEMORY", "%s uses %d MB of %d", v.name, used, vmMemoryMB)
			}
		}
	}
	s.logEvent("VMs used at most %d MB of memory", peak)
}

// usedMemoryMB returns the memory of a process without that of mapped files, or 0 if it has ended.
func usedMemoryMB(pid int) int {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0]) // The kernel always writes a number.
			return kb / 1024
		}
	}
	return 0
}
