package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// runHead sends a HEAD request, and then a GET request on the same channel. Without trouble, the first one is a GET request too.
func runHead(f *fleet, isTroubled bool) (int, error) {
	const channels = 10
	f.writeConfig(3, map[string]float64{"m0": 34300})
	for range 2 {
		if err := f.addEngine(&engine{service: "app", eventInterval: 10 * time.Millisecond}); err != nil {
			return notRun, err
		}
	}
	if err := f.addMachines(2); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	method, strays, answered := http.MethodGet, 0, 0
	if isTroubled {
		method = http.MethodHead
	}
	for i := range channels {
		conn, err := net.Dial("tcp", f.callersAddress(f.machines[i%2]))
		if err != nil {
			return notRun, err
		}
		r := bufio.NewReader(conn)
		stray, err := f.exchange(conn, r, method)
		if err == nil && stray == "" {
			_, err = f.exchange(conn, r, http.MethodGet)
		}
		_ = conn.Close()
		switch {
		case stray != "":
			strays++
		case err == nil:
			answered++
		default:
			f.record.printf("channel %d: %v", i+1, err)
		}
	}
	if strays == 0 && answered < channels {
		return notRun, errors.New("not all requests were answered")
	}
	return f.verdict(strays > 0, "%d of %d channels got bytes that are no answer while no request was waiting; %d were answered twice", strays, channels, answered), nil
}

// exchange sends a request on a kept channel and reads the answer. It returns the bytes that arrive after it.
func (f *fleet) exchange(conn net.Conn, r *bufio.Reader, method string) (stray string, err error) {
	id := newRequestID()
	f.record.printf("%s sent: %s /stock/x", id, method)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s /stock/x HTTP/1.1\r\nHost: review.example\r\nX-Arbutusfork-Request-Id: %s\r\nX-Arbutusfork-Deadline-Ms: 1500\r\nAuthorization: Bearer key-one\r\n\r\n", method, id); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	length, err := resp.Body.Read(make([]byte, 1<<10))
	if length == 0 && method != http.MethodHead {
		return "", err
	}
	f.record.printf("%s answered: status %d, %d bytes of the body", id, resp.StatusCode, length)
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	b := make([]byte, 64)
	n, err := r.Read(b)
	if n > 0 {
		f.record.printf("bytes while no request waits: %q", b[:n])
		return string(b[:n]), nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "", nil
	}
	return "", err
}
