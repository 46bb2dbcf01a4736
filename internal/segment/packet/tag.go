package packet

import "github.com/cespare/xxhash/v2"

// ServiceTag returns the tag of a service's name. Packets carry it so that an
// agent whose address was given to another service returns them.
func ServiceTag(service string) uint32 {
	return uint32(xxhash.Sum64String(service) >> 32)
}
