package afnode

import "net/http"

// serveConfiguration answers with the description of the configuration in force, with which operators compare another one. It
// contains digests of the customers' keys, from which weak keys could be guessed, and the interface has no authentication, so that
// only processes on this VM may read it.
func (n *Node) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	if !isFromThisVM(r) {
		refuse(w, http.StatusForbidden, "forbidden", "the configuration is shown to the VM itself only")
		return
	}
	spec := n.tables.Spec()
	if spec == nil {
		refuse(w, http.StatusServiceUnavailable, "no_configuration", "the VM has no configuration yet")
		return
	}
	d, err := n.Platform.DescribeConfiguration(spec)
	if err != nil {
		refuse(w, http.StatusInternalServerError, "unreadable", err.Error())
		return
	}
	writeStatus(w, http.StatusOK, d)
}
