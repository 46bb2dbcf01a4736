package capacity

import "math"

const (
	// The curve has a point for each of the first exactLevels numbers of requests in progress, and above these one for
	// each increase by pointRatio, up to about 5,000.
	exactLevels = 8
	pointRatio  = 1.125
	pointCount  = 63
	// priorEvidence is how many samples the announced slots count as at each point.
	priorEvidence = 4
	// minFitWeight is the weight of a point without samples in the fit, so that samples elsewhere outweigh it.
	minFitWeight = 0.01
	// The evidence of a point counts as at most evidenceSpan samples for each request in progress at the knee, and at
	// most minEvidence samples if that is more.
	minEvidence  = 256
	evidenceSpan = 64
	// latencyExponent is the weight of the logarithm of the latency against that of the number of requests in progress.
	// With 1.5, more requests in progress are worth it while 1% more of them gives at least 0.33% more throughput.
	latencyExponent = 1.5
	// kneeMargin is by how much the utility must rise for the knee to move.
	kneeMargin = 0.06
	// trustedEvidence is the evidence with which a point counts as measured.
	trustedEvidence = 24
	// rounding is more than the error of the position of a point.
	rounding = 1e-6
)

// logPointRatio is the logarithm of pointRatio.
var logPointRatio = math.Log(pointRatio)

// positionOf returns the position on the curve of a number of requests in progress.
func positionOf(level float64) float64 {
	if level <= exactLevels {
		return max(level-1, 0)
	}
	return min(exactLevels-1+math.Log(level/exactLevels)/logPointRatio, pointCount-1)
}

// levelOf returns the number of requests in progress at a point of the curve.
func levelOf(point int) float64 {
	if point < exactLevels {
		return float64(point + 1)
	}
	return exactLevels * math.Pow(pointRatio, float64(point-exactLevels+1))
}

// curve is the logarithm of the factor by which the latency is higher with more requests in progress.
type curve struct {
	// value is the measured value at each point, and evidence the number of samples behind it.
	value, evidence [pointCount]float64
	// fitted is value made non-decreasing: more requests in progress do not make a host faster.
	fitted [pointCount]float64
	// slots is the number of slots that the host announces.
	slots int
}

// reset sets the curve to that of a host that queues requests beyond its slots.
func (c *curve) reset(slots int) {
	c.slots = max(slots, 1)
	for i := range c.value {
		c.value[i] = c.queueing(i)
		c.evidence[i] = priorEvidence
	}
	c.fitted = c.value
}

// queueing returns the value at a point if the host only queues requests beyond its slots.
func (c *curve) queueing(point int) float64 { return math.Log(max(1, levelOf(point)/float64(c.slots))) }

// split returns the points around a position and the weight of the upper one.
func split(position float64) (lower, upper int, weight float64) {
	lower = int(position)
	return lower, min(lower+1, pointCount-1), position - float64(lower)
}

// at returns the measured value at a position.
func (c *curve) at(position float64) float64 {
	lower, upper, weight := split(position)
	return c.value[lower]*(1-weight) + c.value[upper]*weight
}

// fittedAt returns the fitted value at a position.
func (c *curve) fittedAt(position float64) float64 {
	lower, upper, weight := split(position)
	return c.fitted[lower]*(1-weight) + c.fitted[upper]*weight
}

// variance returns the variance of the value at a position in multiples of that of a sample.
func (c *curve) variance(position float64) float64 {
	lower, upper, weight := split(position)
	return (1-weight)*(1-weight)/c.evidence[lower] + weight*weight/c.evidence[upper]
}

// update changes the value at a position and counts a sample there. span is the number of requests in progress at the knee.
func (c *curve) update(position, change, span float64) {
	maxEvidence := max(minEvidence, evidenceSpan*span)
	lower, upper, weight := split(position)
	norm := (1-weight)*(1-weight) + weight*weight
	c.value[lower] += change * (1 - weight) / norm
	c.value[upper] += change * weight / norm
	c.evidence[lower] = min(c.evidence[lower]+1-weight, maxEvidence)
	c.evidence[upper] = min(c.evidence[upper]+weight, maxEvidence)
}

// limitEvidence lets new samples change the curve quickly.
func (c *curve) limitEvidence(most float64) {
	for i := range c.evidence {
		c.evidence[i] = min(c.evidence[i], most)
	}
}

// fit sets fitted to the non-decreasing values with the least weighted squared distance to value, by pooling adjacent
// violators.
func (c *curve) fit() {
	var mean, weight [pointCount]float64
	var size [pointCount]int
	blocks := 0
	for i := range c.value {
		mean[blocks], weight[blocks], size[blocks] = c.value[i], c.evidence[i]-priorEvidence+minFitWeight, 1
		blocks++
		for blocks > 1 && mean[blocks-2] > mean[blocks-1] {
			a, b := blocks-2, blocks-1
			mean[a] = (mean[a]*weight[a] + mean[b]*weight[b]) / (weight[a] + weight[b])
			weight[a] += weight[b]
			size[a] += size[b]
			blocks--
		}
	}
	point := 0
	for b := range blocks {
		for range size[b] {
			c.fitted[point] = mean[b]
			point++
		}
	}
}

// unloaded returns the value for a host without load: that of the lowest point with enough evidence, less what queueing at
// the slots adds there.
func (c *curve) unloaded() float64 {
	for i := range c.fitted {
		if c.evidence[i] >= trustedEvidence {
			return c.fitted[i] - c.queueing(i)
		}
	}
	return c.fitted[0]
}

// utility returns the utility of a number of requests in progress.
func (c *curve) utility(level float64) float64 {
	return math.Log(level) - latencyExponent*c.fittedAt(positionOf(level))
}

// lowersThroughput reports whether it is known that more requests in progress, up to a level, lower the throughput by more
// than maxHeadroomLoss.
func (c *curve) lowersThroughput(from, level float64) bool {
	lower, upper := positionOf(from), positionOf(level)
	if c.evidence[int(upper)] < trustedEvidence {
		return false
	}
	return math.Log(level/from) < c.fittedAt(upper)-c.fittedAt(lower)-maxHeadroomLoss
}

// knee returns the level with the greatest utility among those with enough evidence and the next one above the current
// level. If it is above, knee returns only the next point. It returns the current level if that is nearly as good.
func (c *curve) knee(current float64) float64 {
	if current >= levelOf(pointCount-1) {
		return current
	}
	best, bestUtility := current, c.utility(current)+kneeMargin
	next := min(int(positionOf(current)+rounding)+1, pointCount-1)
	for point := range c.value {
		if point > next && c.evidence[point] < trustedEvidence {
			continue
		}
		if u := c.utility(levelOf(point)); u > bestUtility {
			best, bestUtility = levelOf(point), u
		}
	}
	return min(best, levelOf(next))
}
