package afentry

// CallerConn is the connection of a caller whose request is handled by Server.ForwardRequest.
type CallerConn struct {
	conn     *serverConn
	response *response
}

// CancelOnDisconnect sets the function that is called when the caller disconnects. It returns false if the caller has
// already disconnected.
func (c *CallerConn) CancelOnDisconnect(cancel func(error)) bool { return c.conn.setCancel(cancel) }

// OpenedWhileDraining reports whether the connection was opened while the server was draining.
func (c *CallerConn) OpenedWhileDraining() bool { return c.conn.openedWhileDraining }

// CloseAfterResponse closes the connection after the response to the current request.
func (c *CallerConn) CloseAfterResponse() {
	c.conn.closeAfterResponse()
	c.response.Header().Set("Connection", "close")
}

// Flush sends the buffered part of the response, and blocks while more than maxUnsentBytes are unsent.
func (c *CallerConn) Flush() error {
	c.response.Flush()
	return c.conn.waitForUnsent(maxUnsentBytes)
}

// AbortResponse closes the connection without the end of the response, so that the caller cannot mistake the response for
// a complete one.
func (c *CallerConn) AbortResponse() {
	c.conn.closeAfterResponse()
	c.response.Flush()
	// nbhttp writes no end of the body for a hijacked response. The serverConn closes the connection.
	_, _, _ = c.response.Hijack()
}
