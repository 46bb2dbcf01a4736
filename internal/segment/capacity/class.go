package capacity

import "math"

const (
	// maxClasses is the number of classes of requests that are told apart at a time. Further ones count as one class.
	maxClasses = 16
	// A class may be replaced by a new one after forgetAfter samples of others.
	forgetAfter = 4096
	// maxClassEvidence is the most samples that the evidence of an offset counts as.
	maxClassEvidence = 256
	// mixWeight is the weight of a sample in the mean factor of the present mix of classes.
	mixWeight = 1.0 / 64
)

// class is what is known of requests that take a similar time.
type class struct {
	id uint32
	// offset is the logarithm of the factor by which the latency of the class differs from that of the first class.
	offset  float64
	samples int
	// usedAt is the number of samples of all classes at the last one of this class.
	usedAt int
	// first is set for the class of the first sample, whose offset stays 0.
	first bool
}

// variance returns the variance of the offset in multiples of that of a sample.
func (c *class) variance() float64 {
	if c.first {
		return 0
	}
	return 1 / float64(min(max(c.samples, 1), maxClassEvidence))
}

// classes holds the classes of recent samples. The last entry is for those that have no entry of their own.
type classes struct {
	list [maxClasses + 1]class
	used int
	// samples counts the samples of all classes.
	samples int
	// factor is the mean factor by which the latency of the present mix differs from that of the first class.
	factor float64
}

// find returns the entry of a class and counts a sample of it.
func (cs *classes) find(id uint32) *class {
	cs.samples++
	oldest := &cs.list[0]
	for i := range cs.list[:cs.used] {
		c := &cs.list[i]
		if c.id == id {
			c.usedAt = cs.samples
			return c
		}
		if c.usedAt < oldest.usedAt {
			oldest = c
		}
	}
	switch {
	case cs.used < maxClasses:
		oldest = &cs.list[cs.used]
		cs.used++
	case cs.samples-oldest.usedAt <= forgetAfter:
		return &cs.list[maxClasses]
	}
	*oldest = class{id: id, usedAt: cs.samples, first: cs.samples == 1}
	return oldest
}

// observeMix updates the mean factor by a sample of a class.
func (cs *classes) observeMix(c *class) {
	if cs.factor == 0 {
		cs.factor = 1
	}
	cs.factor += (math.Exp(c.offset) - cs.factor) * mixWeight
}
