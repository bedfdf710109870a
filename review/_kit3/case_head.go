package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["head"] = runHead }

// runHead checks MIXED: on kept channels, a consumer asks with HEAD and then pays. Nothing but the answer to the payment may follow the
// head of the first answer. Without the disruption, the consumer asks with GET.
func runHead(f *fleet, isTrouble bool) (bool, error) {
	const channels = 20
	stream := func(c *call) bool { return c.stream(20, 100*time.Millisecond, 25*time.Millisecond) }
	whole := func(c *call) bool {
		time.Sleep(30 * time.Millisecond)
		signed := headerSigned + ": " + c.runner.id + "\r\n"
		if c.r.Method != http.MethodHead {
			return c.write(http.StatusOK, signed, "done "+c.id+strings.Repeat(".", 780))
		}
		_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+c.id+"\r\n"+signed+"Content-Length: 800\r\n\r\n")
		return err == nil
	}
	if err := f.addRunners(3, 3, stream, whole); err != nil {
		return false, err
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.settle(); err != nil {
		return false, err
	}
	method := http.MethodGet
	if isTrouble {
		method = http.MethodHead
	}
	broken := 0
	for n := range channels {
		first, second := look(fmt.Sprintf("l-%d", n), n), pay(fmt.Sprintf("p-%d", n), n)
		first.method = method
		stray, answer, err := f.askAndPay(first, second)
		f.rec.line("channel %d: %s %s, then POST %s: bytes between the answers %q, then %q, %v", n, method, first.id, second.id, stray, answer, err)
		if err != nil && len(stray) == 0 {
			return false, err
		}
		if len(stray) > 0 {
			broken++
		}
	}
	f.rec.report("%d of %d kept channels had bytes that are no answer between the answer to %s and that to a payment that ran", broken, channels, method)
	return broken == 0, nil
}

// askAndPay sends two requests on one channel, the second one after the whole first answer. It returns the bytes before the status line
// of the second answer, and that line.
func (f *fleet) askAndPay(first, second request) (stray, statusLine string, err error) {
	conn, err := net.DialTimeout("tcp", f.front(first.front), time.Second)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // A closed connection fails below.
	b := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, first.encode()); err != nil {
		return "", "", err
	}
	resp, err := http.ReadResponse(b, &http.Request{Method: first.method})
	if err != nil {
		return "", "", err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", "", err
	}
	f.rec.line("answer %s: %d, headers %v", first.id, resp.StatusCode, resp.Header)
	if _, err := io.WriteString(conn, second.encode()); err != nil {
		return "", "", err
	}
	var line string
	for !strings.HasPrefix(line, "HTTP/1.1 ") {
		stray += line
		if line, err = b.ReadString('\n'); err != nil {
			return stray + line, "", err
		}
	}
	return stray, strings.TrimSpace(line), nil
}
