package packet

import "github.com/cespare/xxhash/v2"

// ServiceTag returns the tag of a service: the upper 32 bits of the hash of its
// name. Balancers label packets with it, so that an agent whose address has been
// reassigned to another service returns them instead of delivering them.
func ServiceTag(service string) uint32 {
	return uint32(xxhash.Sum64String(service) >> 32)
}
