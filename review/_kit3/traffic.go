package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// traffic sends requests at a rate until it is stopped.
type traffic struct {
	stop    chan struct{}
	pending sync.WaitGroup
}

// every calls send at random times, perSecond on average, each call in a goroutine of its own.
func (t *traffic) every(perSecond float64, send func(n int)) {
	t.pending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			t.pending.Go(func() { send(n) })
		}
	})
}

// end stops all senders and waits for the requests in progress.
func (t *traffic) end() {
	close(t.stop)
	t.pending.Wait()
}

// The IDs of the parts that all prompts share.
const (
	sharedPart   = "5c1e07a2"
	documentPart = "91bd3f06"
)

func talk(id string, n int, parts ...string) request {
	return request{id: id, method: http.MethodPost, path: "/talk/x", parts: parts, timeout: 15 * time.Second, body: strings.Repeat("p", 2900), front: n}
}

func pay(id string, n int) request {
	return request{id: id, method: http.MethodPost, path: "/pay/x", timeout: 1500 * time.Millisecond, body: strings.Repeat("o", 600), front: n}
}

func look(id string, n int) request {
	return request{id: id, method: http.MethodGet, path: "/look/x", timeout: 1500 * time.Millisecond, front: n}
}

// addRunners adds the runners of the deployment.
func (f *fleet) addRunners(engines, plain int, stream, whole func(c *call) bool) error {
	for i := range engines {
		if err := f.addRunner(engineName, i, []string{modelName}, stream); err != nil {
			return err
		}
	}
	for i := range plain {
		if err := f.addRunner(plainName, i, nil, whole); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until requests are served, and contactTime more, so that all machines are in touch.
func (f *fleet) settle() error {
	for n := range 100 {
		if f.send(talk(fmt.Sprintf("first-%d", n), n, sharedPart, documentPart, fmt.Sprintf("%07x", n))).status == http.StatusOK {
			time.Sleep(contactTime)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no request was served")
}
