package table

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Logarithms are computed in fixed point. On some architectures, the compiler may fuse
// floating-point operations, which rounds differently, and a balancer and an agent on
// different architectures would then disagree on the choices of a bucket.
const (
	// logIndexBits is the number of high bits of a mantissa that index log2Table. The
	// lower bits interpolate between two entries.
	logIndexBits = 10
	// logSteps is the number of intervals of log2Table.
	logSteps = 1 << logIndexBits
	// drawBits is the number of fractional bits of a draw. Draws are below 64, so
	// their integer part fits in the other 6 bits.
	drawBits = 58
)

// log2Table holds log2(1 + i/logSteps) with drawBits fractional bits.
var log2Table = newLog2Table()

// newLog2Table computes log2Table by repeated squaring.
func newLog2Table() (steps [logSteps + 1]uint64) {
	for i := range logSteps {
		// x is in [1, 2) with 63 fractional bits. Each squaring gives one bit of its
		// logarithm.
		x := uint64(1)<<63 | uint64(i)<<(63-logIndexBits)
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

// seedOf returns the hash seed of a host in a service. It depends on the name of the
// host and not on its address, so that a host keeps its buckets when its address changes.
func seedOf(service uint32, host string) uint64 {
	return mix64(xxhash.Sum64String(host) ^ uint64(service)*0x9e3779b97f4a7c15)
}

// mix64 is the finalizer of the SplitMix64 generator. Each input bit affects all output
// bits.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// draw returns the pseudo-random draw of a host, given by its seed, for a bucket: -log2
// of a uniformly distributed value, which is exponentially distributed, with drawBits
// fractional bits.
func draw(seed uint64, bucket int) uint64 {
	h := mix64(seed+uint64(bucket+1)*0x9e3779b97f4a7c15) | 1
	zeros := bits.LeadingZeros64(h)
	mantissa := h << (zeros + 1)
	i := mantissa >> (64 - logIndexBits)
	rest := mantissa << logIndexBits >> 32
	low, high := log2Table[i], log2Table[i+1]
	// Neighbouring entries differ by less than 2^(drawBits-logIndexBits+1), so the
	// product does not overflow.
	log := low + (high-low)>>20*rest>>12
	return uint64(zeros+1)<<drawBits - log
}

// inverseWeight returns the reciprocal of a weight with 64 fractional bits. Weight 0
// counts as 1.
func inverseWeight(weight uint32) uint64 {
	if weight == 0 {
		weight = 1
	}
	return ^uint64(0) / uint64(weight)
}

// score returns the rendezvous score, a draw divided by a weight, from the draw and the
// reciprocal of the weight. The probability that a member has the lowest score is in
// proportion to its weight.
func score(draw, inverse uint64) uint64 {
	hi, _ := bits.Mul64(draw, inverse)
	return hi
}
