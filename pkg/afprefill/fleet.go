package afprefill

// maxUnspacedVMs is the number of VMs up to which starts are not spaced. Each VM of such a fleet learns of the requests of the others
// within 0.3 s, which is soon enough for the choice of an engine.
const maxUnspacedVMs = 12

// IsNeeded reports whether a fleet of so many VMs spaces the starts at its engines.
func IsNeeded(vms int) bool { return vms > maxUnspacedVMs }
