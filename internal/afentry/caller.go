package afentry

// CallerConn is the connection that a forwarded request came on.
type CallerConn struct {
	link *link
	res  *response
}

// CancelOnDisconnect sets what is called when the caller hangs up. It reports false if that has already happened.
func (c *CallerConn) CancelOnDisconnect(cancel func(error)) bool { return c.link.bind(cancel) }

// OpenedWhileDraining reports whether the connection was opened after the server had begun to drain.
func (c *CallerConn) OpenedWhileDraining() bool { return c.link.late }

// CloseAfterResponse makes the connection close when the running request has been answered.
func (c *CallerConn) CloseAfterResponse() {
	c.link.closeAfter()
	c.res.Header().Set("Connection", "close")
}

// Flush sends what was written and waits while too much of it is unsent.
func (c *CallerConn) Flush() error {
	c.res.Flush()
	return c.link.flush(maxUnsent)
}

// AbortResponse closes the connection without the end of the answer, so that no caller takes it for complete.
func (c *CallerConn) AbortResponse() {
	c.link.closeAfter()
	c.res.Flush()
	// A hijacked response is not ended by the engine. The link closes the connection.
	_, _, _ = c.res.Hijack()
}
