package hostqueue

import "time"

// prospect is what a request can still meet if the host gets it now.
type prospect uint8

const (
	// prospectInTime: the latency objective, or the deadline if there is no objective.
	prospectInTime prospect = iota
	// prospectLate: the deadline only.
	prospectLate
	// prospectMissed: not even the deadline.
	prospectMissed
)

// latencyMargin is the factor by which the time at the host may exceed the expected one for a request to count as in
// time. Without a margin, half of the requests that are let in at the last moment would be late. An estimate that is too
// high costs less than one that is too low.
const latencyMargin = 2

// prospect returns what the request can still meet.
func (r *heldRequest) prospect(now time.Time, latency time.Duration) prospect {
	switch {
	case !r.deadline.IsZero() && now.Add(latency).After(r.deadline):
		return prospectMissed
	case !r.objective.IsZero() && now.Add(latencyMargin*latency).After(r.objective):
		return prospectLate
	}
	return prospectInTime
}

// expired reports whether the deadline of the request has passed.
func (r *heldRequest) expired(now time.Time) bool {
	return !r.deadline.IsZero() && now.After(r.deadline)
}

// due returns the next time that the request can meet: its objective or its deadline.
func (r *heldRequest) due(p prospect) time.Time {
	if p == prospectInTime && !r.objective.IsZero() {
		return r.objective
	}
	return r.deadline
}

// urgency is the place of a request in the order in which the host gets requests. It holds for one moment only.
type urgency struct {
	prospect prospect
	standing standing
	priority int
	// overShare is set if the caller has had more than its share.
	overShare bool
	due       time.Time
	number    uint64
}

// urgency returns the urgency of a request. updateAccounts must have been called with the same time.
func (q *Queue) urgency(now time.Time, h Host, r *heldRequest) urgency {
	p := r.prospect(now, h.Latency)
	u := urgency{prospect: p, standing: standingNormal, priority: r.priority, due: r.due(p), number: r.number}
	if r.route != nil {
		u.standing = r.route.standing
	}
	if r.caller != nil {
		u.overShare = r.caller.overShare
	}
	return u
}

// before reports whether a request of this urgency goes before one of the other. Requests that miss their deadline
// anyway go last, whatever the standing of their route.
func (u *urgency) before(other *urgency) bool {
	switch {
	case (u.prospect == prospectMissed) != (other.prospect == prospectMissed):
		return other.prospect == prospectMissed
	case u.standing != other.standing:
		return u.standing < other.standing
	case u.prospect != other.prospect:
		return u.prospect < other.prospect
	case u.priority != other.priority:
		return u.priority < other.priority
	case u.overShare != other.overShare:
		return other.overShare
	case u.due.IsZero() != other.due.IsZero():
		return other.due.IsZero()
	case !u.due.Equal(other.due):
		return u.due.Before(other.due)
	}
	return u.number < other.number
}
