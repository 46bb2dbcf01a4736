package main

import (
	"fmt"
	"syscall"
	"time"
)

// agentClockAhead is how far the time of day of a machine is ahead at the start of its
// host.
const agentClockAhead = 2000 * time.Millisecond

// playAgentClock opens flows at a host whose machine's clock is set back shortly after
// the start, restarts the agent beside it once with SIGTERM while the flows rest, and
// then uses the flows again.
func playAgentClock(f *fleet, trouble bool) (violations []string, err error) {
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
		clock = agentClockAhead
	}
	h, err := m.startHost(clock)
	if err != nil {
		return nil, err
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
	if trouble {
		f.record.logf("the time of day of %s jumps back by %v", m.name, agentClockAhead)
		time.Sleep(time.Until(started.Add(1600 * time.Millisecond)))
		if err = f.restart(m.agent, syscall.SIGTERM, 0); err != nil {
			return nil, err
		}
	}
	time.Sleep(idleAfterRestart)
	for _, fl := range flows {
		holds := h.holds(fl.local)
		if id, got := fl.request(); got == outcomeReset && holds {
			violations = append(violations, fmt.Sprintf("FLOW: flow %d got a reset on request %s; its host %s %s runs, holds the flow and sent none",
				fl.local.Port(), id, m.name, h.id))
		}
	}
	return violations, nil
}
