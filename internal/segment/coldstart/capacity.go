package coldstart

import "time"

// shareFactor is how many times its even share of the room a balancer counts on. The others may send less.
const shareFactor = 2

// Capacity is what the hosts of a service take while all of them are cold. The load that it answers is that after an
// evacuation or a loss of power, when many hosts start at once and callers open more flows than these bear.
type Capacity struct {
	// Room is how many flows the hosts take now, and PerSecond how many they take each second.
	Room      int
	PerSecond float64
	// Balancers is the number of balancers that share the hosts. If it is 0, there is one.
	Balancers int
}

// Add adds a host with the given room. Of the flows that it takes in any Window, perSecond is the most.
func (c *Capacity) Add(b Bounds, room int, perSecond float64) {
	c.Room += room
	c.PerSecond += float64(b.Limit(perSecond)) / Window.Seconds()
}

// Servable reports whether a flow that is given up after the given time can be served, if ahead flows are served before
// it.
func (c Capacity) Servable(ahead int, left time.Duration) bool {
	share := min(shareFactor/float64(max(c.Balancers, 1)), 1)
	taken := share * (float64(c.Room) + c.PerSecond*max(left, 0).Seconds())
	return float64(ahead) < taken
}
