package afreset

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// triesPerCase is the number of tries of each kind, since either the reader or the writer of a connection learns of a reset.
const triesPerCase = 20

// uploadBytes is more than the buffers of a connection hold if the peer reads nothing.
const uploadBytes = 16 << 20

// readWhileWriting connects to a peer, writes to it in the background, and returns what was read until the end and the error of the last
// read.
func readWhileWriting(t *testing.T, serve func(peer *net.TCPConn)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	served := make(chan struct{})
	go func() {
		defer close(served)
		peer, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		if _, err := peer.Read(make([]byte, 1)); err == nil {
			serve(peer.(*net.TCPConn))
		}
	}()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c := NewConn(dialed)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, uploadBytes)) // The read reports what broke the connection.
	}()
	answer, err := io.ReadAll(c)
	<-written
	_ = c.Close()
	<-served
	return string(answer), err
}

// Guards against a reset that looks like the end of the input because a write got the error.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for range triesPerCase {
		answer, err := readWhileWriting(t, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "part")
			_ = peer.SetLinger(0)
		})
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Equal(t, "part", answer)
	}
}

// Guards against an end of the input that looks like a reset, and against a read that waits for a write to a peer that reads nothing.
func TestEndDuringWriteIsNoReset(t *testing.T) {
	for name, finish := range map[string]func(peer *net.TCPConn){
		"reads on":   func(peer *net.TCPConn) { _, _ = io.Copy(io.Discard, peer) },
		"reads less": func(peer *net.TCPConn) { _, _ = peer.Read(make([]byte, 1)) },
		"resets":     func(peer *net.TCPConn) { _ = peer.SetLinger(0) },
	} {
		for range triesPerCase {
			answer, err := readWhileWriting(t, func(peer *net.TCPConn) {
				_, _ = io.WriteString(peer, "whole")
				_ = peer.CloseWrite()
				finish(peer)
			})
			require.NoError(t, err, name)
			require.Equal(t, "whole", answer, name)
		}
	}
}

// scriptedConn is a connection whose writes fail with an error and whose input is at its end.
type scriptedConn struct {
	net.Conn
	writeErr error
}

func (c scriptedConn) Write([]byte) (int, error) { return 0, c.writeErr }

func (c scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a connection that timed out or lost its route and looks as if the peer had closed its side.
func TestErrorsOfWritesThatBreakTheConnection(t *testing.T) {
	for writeErr, want := range map[error]error{
		syscall.ECONNRESET: syscall.ECONNRESET, syscall.ETIMEDOUT: syscall.ETIMEDOUT, syscall.EHOSTUNREACH: syscall.EHOSTUNREACH,
		syscall.EPIPE: io.EOF, net.ErrClosed: io.EOF, os.ErrDeadlineExceeded: io.EOF,
	} {
		c := NewConn(scriptedConn{writeErr: &net.OpError{Op: "write", Net: "tcp", Err: writeErr}})
		_, err := c.Write([]byte("x"))
		require.ErrorIs(t, err, writeErr)
		_, err = c.Write([]byte("x"))
		require.ErrorIs(t, err, writeErr)
		_, err = c.Read(nil)
		require.True(t, errors.Is(err, want), "read after %v: %v", writeErr, err)
	}
	_, err := NewConn(scriptedConn{}).Read(nil)
	require.ErrorIs(t, err, io.EOF)
}
