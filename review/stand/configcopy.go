package main

import (
	"fmt"
	"time"
)

const (
	// darkTime is how long the host is silent.
	darkTime = 450 * time.Millisecond
	// rollbackSlack is rollback_slack_ms.
	rollbackSlack = 250 * time.Millisecond
)

// playConfigCopy removes a route and adds another one while the only host of the removed
// route's service is silent, and an opening packet for that route waits for an answer.
func playConfigCopy(f *fleet, trouble bool) (violations []string, err error) {
	const oldService, newService, rounds = "orderdesk", "gaugebench", 3
	var hosts []*host
	for n, service := range []string{oldService, newService} {
		m, err := f.startMachine(byte(n), service)
		if err != nil {
			return nil, err
		}
		h, err := m.startHost(0)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	f.setConfig(3, oldService)
	if err = f.startBalancer(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		removed, added := byte(round), byte(round+1)
		if err = hosts[0].awaitHeartbeat(); err != nil {
			return nil, err
		}
		if trouble {
			hosts[0].setDeaf(true)
			f.record.logf("host %s goes dark", hosts[0].machine.name)
		}
		old := f.caller.newFlow(f.target(removed))
		opened := make(chan outcome, 1)
		go func() { opened <- old.open() }()
		time.Sleep(20 * time.Millisecond)
		services := make([]string, added+1)
		services[added] = newService
		f.setConfig(4+2*round, services...)
		seenAt, err := f.awaitEffect(added)
		if err != nil {
			return nil, err
		}
		f.record.logf("a host has seen the effect of version %d", 4+2*round)
		time.Sleep(darkTime - time.Since(f.copySent(old.local.Port(), 0)))
		if trouble {
			if hosts[0], err = hosts[0].startAgain(); err != nil {
				return nil, err
			}
		}
		result := <-opened
		f.record.logf("flow %d on the removed route: %s", old.local.Port(), result)
		if result == outcomeAnswered {
			old.request()
		}
		for _, t := range f.takenOf(old.local.Port()) {
			if after := f.copySent(t.port, t.copyNumber).Sub(seenAt); after > rollbackSlack {
				violations = append(violations, fmt.Sprintf("CONFIG: host %s took the opening packet of flow %d on a dropped route, copy %d, sent %d ms after a host saw the effect of the version that dropped it",
					t.machine.name, t.port, t.copyNumber, after.Milliseconds()))
			}
		}
		services[added] = oldService
		f.setConfig(5+2*round, services...)
		time.Sleep(4 * time.Second)
	}
	return violations, nil
}

// awaitEffect opens flows on a route until a host takes one, and returns when it did.
func (f *fleet) awaitEffect(route byte) (seenAt time.Time, err error) {
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); {
		fl := f.caller.newFlow(f.target(route))
		if fl.open() != outcomeAnswered {
			continue
		}
		if taken := f.takenOf(fl.local.Port()); len(taken) > 0 {
			return taken[0].at, nil
		}
	}
	return seenAt, fmt.Errorf("no host took a flow on route %d", route)
}

func (f *fleet) copySent(port uint16, copyNumber uint32) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentAt[openingCopy{port, copyNumber}]
}

// takenOf returns the copies of the opening packet of a flow that hosts took.
func (f *fleet) takenOf(port uint16) (found []taken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.takenBy {
		if t.port == port {
			found = append(found, t)
		}
	}
	return found
}

// startAgain ends a host and starts the next one in its place.
func (h *host) startAgain() (next *host, err error) {
	h.crash()
	return h.machine.startHost(0)
}
