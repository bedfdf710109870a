package afentry

// Caller is the connection that a forwarded request came on.
type Caller struct {
	link *link
	res  *response
}

// Bind sets what is called when the caller hangs up. It reports false if that has already happened.
func (c *Caller) Bind(cancel func(error)) bool { return c.link.bind(cancel) }

// Late reports whether the connection was opened after the server had begun to drain.
func (c *Caller) Late() bool { return c.link.late }

// CloseAfter makes the connection close when the running request has been answered.
func (c *Caller) CloseAfter() {
	c.link.closeAfter()
	c.res.Header().Set("Connection", "close")
}

// Flush sends what was written and waits while too much of it is unsent.
func (c *Caller) Flush() error {
	c.res.Flush()
	return c.link.flush(maxUnsent)
}

// Break closes the connection without the end of the answer, so that no caller takes it for complete.
func (c *Caller) Break() {
	c.link.closeAfter()
	c.res.Flush()
	// A hijacked response is not ended by the engine. The link closes the connection.
	_, _, _ = c.res.Hijack()
}
