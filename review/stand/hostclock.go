package main

import (
	"fmt"
	"time"
)

const (
	// clockAhead is how far the time of day of a machine is ahead until it jumps back.
	clockAhead = 2400 * time.Millisecond
	// takeoverTime is how long the flows rest: the agent takes the second start of the
	// host for the current one after about 7 s.
	takeoverTime = 9 * time.Second
)

// playHostClock opens flows at a host that has started a second time, shortly after the
// clock of its machine was set back, and lets them rest while the host goes on.
func playHostClock(f *fleet, trouble bool) (violations []string, err error) {
	const service, flowCount = "gaugebench", 24
	f.setConfig(3, service)
	other, err := f.startMachine(0, service)
	if err != nil {
		return nil, err
	}
	if _, err = other.startHost(0); err != nil {
		return nil, err
	}
	m, err := f.startMachine(1, service)
	if err != nil {
		return nil, err
	}
	if err = f.startBalancer(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	clock := time.Duration(0)
	if trouble {
		clock = clockAhead
	}
	h, err := m.startHost(clock)
	if err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(700 * time.Millisecond)
		f.record.logf("the time of day of %s jumps back by %v", m.name, clockAhead)
		time.Sleep(700 * time.Millisecond)
		h.crash()
		time.Sleep(300 * time.Millisecond)
		if h, err = m.startHost(0); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	time.Sleep(200 * time.Millisecond)
	var flows []*callerFlow
	for range flowCount {
		fl := f.caller.newFlow(f.target(0))
		if got := fl.open(); got != outcomeAnswered {
			return nil, fmt.Errorf("flow %d did not open: %s", fl.local.Port(), got)
		}
		if id, got := fl.request(); got != outcomeAnswered {
			return nil, fmt.Errorf("request %s: %s", id, got)
		}
		if h.holds(fl.local) {
			flows = append(flows, fl)
		}
	}
	f.record.logf("%d of %d flows are open at host %s %s", len(flows), flowCount, m.name, h.id)
	if len(flows) == 0 {
		return nil, fmt.Errorf("no flow opened at host %s", h.id)
	}
	for reset := make(map[*callerFlow]bool); time.Since(started) < takeoverTime; time.Sleep(5 * time.Millisecond) {
		for _, fl := range flows {
			if !reset[fl] && fl.resetReceived() {
				reset[fl] = true
				violations = append(violations, fmt.Sprintf("FLOW: flow %d got a reset %.1f s after the start of its host %s %s, which runs, holds the flow and sent none",
					fl.local.Port(), time.Since(started).Seconds(), m.name, h.id))
			}
		}
	}
	for _, fl := range flows {
		fl.request()
	}
	return violations, nil
}
