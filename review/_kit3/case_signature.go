package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["signature"] = runSignature }

// runSignature checks MIXED: no success without the signature of a runner. Within a disruption of 5.5 s, four of twelve runners spoil one
// in fifty of their answers: one byte in the name of the signature header is wrong.
func runSignature(f *fleet, isTrouble bool) (bool, error) {
	const (
		episodes      = 4
		episodeLength = 5500 * time.Millisecond
		episodePause  = 4 * time.Second
		spoiltShare   = 3 // One in three runners spoils answers.
		spoiltEvery   = 50
	)
	var answers [12]atomic.Int64
	var isSpoiling atomic.Bool
	spoil := func(c *call) bool {
		var n int
		_, _ = fmt.Sscanf(c.runner.id[strings.LastIndexByte(c.runner.id, '-')+1:], "%d", &n) // Each ID ends with a number.
		return isTrouble && isSpoiling.Load() && n%spoiltShare == 0 && answers[n].Add(1)%spoiltEvery == 0
	}
	var sent atomic.Int64
	name := func(c *call) string {
		if !spoil(c) {
			return headerSigned
		}
		sent.Add(1)
		f.rec.line("spoilt answer to %s by %s", c.id, c.runner.id)
		return strings.Replace(headerSigned, "Signature", "Sigoature", 1)
	}
	stream := func(c *call) bool {
		time.Sleep(60 * time.Millisecond)
		head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + c.id + "\r\n" + name(c) + ": " + c.runner.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for n := 1; n <= 20; n++ {
			if _, err := io.WriteString(c.conn, head+chunk(streamEvent(c.id, n))); err != nil {
				return false
			}
			head = ""
			time.Sleep(25 * time.Millisecond)
		}
		_, _ = io.WriteString(c.conn, "0\r\n\r\n")
		return false
	}
	whole := func(c *call) bool {
		time.Sleep(30 * time.Millisecond)
		return c.write(http.StatusOK, name(c)+": "+c.runner.id+"\r\n", "done "+c.id+strings.Repeat(".", 780))
	}
	if err := f.addRunners(9, 3, stream, whole); err != nil {
		return false, err
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	var ok, unsigned atomic.Int64
	judge := func(q request) {
		a := f.send(q)
		if a.status/100 != 2 || a.err != nil {
			return
		}
		ok.Add(1)
		if a.header.Get(headerSigned) == "" {
			unsigned.Add(1)
			f.rec.line("broken MIXED: %s got %d without a signature", q.id, a.status)
		}
	}
	t := &traffic{stop: make(chan struct{})}
	t.every(29, func(n int) { judge(talk(fmt.Sprintf("t-%d", n), n, sharedPart, documentPart, fmt.Sprintf("%07x", n))) })
	t.every(7, func(n int) { judge(pay(fmt.Sprintf("p-%d", n), n)) })
	t.every(3.6, func(n int) { judge(look(fmt.Sprintf("l-%d", n), n)) })
	for range episodes {
		time.Sleep(episodePause)
		f.rec.line("garble begins")
		isSpoiling.Store(true)
		time.Sleep(episodeLength)
		isSpoiling.Store(false)
		f.rec.line("garble ends")
	}
	t.end()
	f.rec.report("%d successes; %d of %d spoilt answers came as a success without a signature", ok.Load(), unsigned.Load(), sent.Load())
	return unsigned.Load() == 0, nil
}
