package afroute

import "slices"

// AllowsRegion reports whether a list of allowed regions includes a region. An empty list includes all, also an unknown one, which is
// empty.
func AllowsRegion(list []string, region string) bool {
	return len(list) == 0 || region != "" && slices.Contains(list, region)
}
