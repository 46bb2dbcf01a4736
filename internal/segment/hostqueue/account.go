package hostqueue

import (
	"math"
	"time"
)

const (
	// accountWindow is the time constant with which the counts of accounts decay. It is longer than the pauses between
	// the requests of a flow, and short enough that a caller is not held to what it had before a pause.
	accountWindow = 2 * time.Second
	// minimumShare is the share of its requests that a route gets whatever its priority.
	minimumShare = 0.1
	// minStarved is the number of requests within accountWindow below which a route does not count as starved, because
	// the first of them may still wait.
	minStarved = 2
	// callerAllowance is by how many requests within accountWindow a caller may exceed the mean of the waiting callers
	// before others go first. A caller with one flow stays below it while it waits for its answers.
	callerAllowance = 2
	// minAccountCount is the count below which an account no longer counts.
	minAccountCount = 0.5
)

// account counts the requests of a route or a caller. The counts decay with accountWindow.
type account struct {
	// arrived are the requests that have arrived, served those of them that the host has got, and inTime those that it
	// has got in time for their objective. Only served is counted for callers.
	arrived, served, inTime float64
	updatedAt               time.Time
	// held is the number of held requests.
	held int
	// priority is the priority of a route.
	priority int
	// standing is that of a route, and overShare is set if a caller has had more than its share. Both hold from one call
	// of updateAccounts to the next.
	standing  standing
	overShare bool
}

// standing is what a route has got compared with others. Requests of a lower standing go first.
type standing uint8

const (
	// standingStarved: less than minimumShare, and no route of higher priority has got as little.
	standingStarved standing = iota
	standingNormal
	// standingAhead: a larger share in time than a waiting route of higher priority.
	standingAhead
)

// decay reduces the counts for the time since the last call.
func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / accountWindow.Seconds())
		a.arrived, a.served, a.inTime, a.updatedAt = a.arrived*factor, a.served*factor, a.inTime*factor, now
	}
}

// share returns the share of a route's requests that the host has got.
func (a *account) share() float64 {
	if a.arrived == 0 {
		return 1
	}
	return a.served / a.arrived
}

// serve counts a request that the host gets now.
func (a *account) serve(p prospect) {
	a.served++
	if p == prospectInTime {
		a.inTime++
	}
}

// counts reports whether the account is not to be removed.
func (a *account) counts() bool { return a.held > 0 || max(a.arrived, a.served) >= minAccountCount }

// openAccounts returns the accounts of the route and the caller of a request, and adds them if necessary.
func (q *Queue) openAccounts(now time.Time, r Request) (route, caller *account) {
	destination, source := r.Flow.Destination(), r.Flow.Source().Addr()
	if len(q.callers) >= q.maxRecords() {
		q.removeOldAccounts(now)
	}
	route, caller = q.routes[destination], q.callers[source]
	if route == nil {
		route = &account{updatedAt: now}
		q.routes[destination] = route
	}
	if caller == nil {
		caller = &account{updatedAt: now}
		q.callers[source] = caller
	}
	route.decay(now)
	caller.decay(now)
	route.priority = priority(r.Class)
	return route, caller
}

// updateAccounts determines the standing of the routes and which callers have had more than their share.
func (q *Queue) updateAccounts(now time.Time) {
	for _, route := range q.routes {
		route.decay(now)
	}
	for _, route := range q.routes {
		route.standing = q.standing(route)
	}
	var sum, waiting float64
	for _, caller := range q.callers {
		caller.decay(now)
		if caller.held > 0 {
			sum, waiting = sum+caller.served, waiting+1
		}
	}
	for _, caller := range q.callers {
		caller.overShare = caller.served > sum/max(waiting, 1)+callerAllowance
	}
}

// standing returns the standing of a route. It is not ahead of another that one request more would bring level with it.
func (q *Queue) standing(route *account) standing {
	starved, ahead := route.arrived >= minStarved && route.share() < minimumShare, false
	for _, other := range q.routes {
		if other.priority >= route.priority || other.arrived < minAccountCount {
			continue
		}
		starved = starved && other.share() > route.share()
		ahead = ahead || other.held > 0 && (other.inTime+1)/other.arrived <= route.inTime/max(route.arrived, 1)
	}
	switch {
	case starved:
		return standingStarved
	case ahead:
		return standingAhead
	}
	return standingNormal
}

// removeOldAccounts removes the accounts that no longer count. If callers remain beyond the bound, those without a held
// request are removed, too.
func (q *Queue) removeOldAccounts(now time.Time) {
	for address, route := range q.routes {
		if route.decay(now); !route.counts() {
			delete(q.routes, address)
		}
	}
	for address, caller := range q.callers {
		if caller.decay(now); !caller.counts() {
			delete(q.callers, address)
		}
	}
	if len(q.callers) < q.maxRecords() {
		return
	}
	for address, caller := range q.callers {
		if caller.held == 0 {
			delete(q.callers, address)
		}
	}
}
