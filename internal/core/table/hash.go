package table

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// The logarithm is computed in integers. Floating point may be fused on some
// architectures, and a balancer and an agent of different architectures would
// then disagree on a bucket.
const (
	logBits  = 10
	logSteps = 1 << logBits
	// drawBits is the number of fractional bits of a draw. Draws are below 64,
	// so that they fill 64 bits.
	drawBits = 58
)

// logTable holds log2(1 + i/logSteps) with drawBits fractional bits.
var logTable = newLogTable()

func newLogTable() (steps [logSteps + 1]uint64) {
	for i := range logSteps {
		// x is in [1, 2) with 63 fractional bits. Squaring it gives one bit of
		// its logarithm.
		x := uint64(1)<<63 | uint64(i)<<(63-logBits)
		var log uint64
		for range drawBits {
			hi, lo := bits.Mul64(x, x)
			log <<= 1
			if hi>>63 != 0 {
				log |= 1
				x = hi
				continue
			}
			x = hi<<1 | lo>>63
		}
		steps[i] = log
	}
	steps[logSteps] = 1 << drawBits
	return steps
}

// seedOf returns the hash seed of a host in a service. It depends on the name
// and not on the address, so that a host that moves keeps its buckets.
func seedOf(service uint32, host string) uint64 {
	return mix(xxhash.Sum64String(host) ^ uint64(service)*0x9e3779b97f4a7c15)
}

// mix is the finalizer of splitmix64, which spreads each input bit over the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// draw returns an exponentially distributed value, -log2 of a uniform one, for a
// host and a bucket.
func draw(seed uint64, bucket int) uint64 {
	h := mix(seed+uint64(bucket+1)*0x9e3779b97f4a7c15) | 1
	zeros := bits.LeadingZeros64(h)
	mantissa := h << (zeros + 1)
	i := mantissa >> (64 - logBits)
	rest := mantissa << logBits >> 32
	low, high := logTable[i], logTable[i+1]
	// The step between two entries is below 2^(drawBits-logBits+1).
	log := low + (high-low)>>20*rest>>12
	return uint64(zeros+1)<<drawBits - log
}

// inverseOf returns the reciprocal of a weight as a 64-bit fraction.
func inverseOf(weight uint32) uint64 {
	if weight == 0 {
		weight = 1
	}
	return ^uint64(0) / uint64(weight)
}

// score divides a draw by a weight. The member with the lowest score wins, with
// a probability in proportion to its weight.
func score(draw, inverse uint64) uint64 {
	hi, _ := bits.Mul64(draw, inverse)
	return hi
}
