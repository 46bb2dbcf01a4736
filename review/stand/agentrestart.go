package main

import (
	"fmt"
	"syscall"
	"time"
)

// idleBeforeRestart and idleAfterRestart are how long the flows rest before the restarts
// and after the last of them. The latter is longer than stable_ms.
const (
	idleBeforeRestart = 500 * time.Millisecond
	idleAfterRestart  = 5 * time.Second
)

// playAgentRestart opens flows at three hosts, restarts the agent beside each host in
// turn with SIGTERM while the flows rest, and then uses the flows again. The hosts go on
// all the time.
func playAgentRestart(f *fleet, trouble bool) (violations []string, err error) {
	const service, machineCount, flowCount = "orderdesk", 3, 24
	f.setConfig(3, service)
	var machines []*machine
	var hosts []*host
	for n := range byte(machineCount) {
		m, err := f.startMachine(n, service)
		if err != nil {
			return nil, err
		}
		h, err := m.startHost(0)
		if err != nil {
			return nil, err
		}
		machines, hosts = append(machines, m), append(hosts, h)
	}
	if err = f.startBalancer(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var flows []*callerFlow
	for range flowCount {
		fl := f.caller.newFlow(f.target(0))
		if got := fl.open(); got != outcomeAnswered {
			return nil, fmt.Errorf("flow %d did not open: %s", fl.local.Port(), got)
		}
		if id, got := fl.request(); got != outcomeAnswered {
			return nil, fmt.Errorf("request %s: %s", id, got)
		}
		flows = append(flows, fl)
	}
	time.Sleep(idleBeforeRestart)
	if trouble {
		for i, m := range machines {
			if err = hosts[i].awaitHeartbeat(); err != nil {
				return nil, err
			}
			if err = f.restart(m.agent, syscall.SIGTERM, 0); err != nil {
				return nil, err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(idleAfterRestart)
	for _, fl := range flows {
		var holder *host
		for _, h := range hosts {
			if h.holds(fl.local) {
				holder = h
			}
		}
		id, got := fl.request()
		if got == outcomeReset && holder != nil {
			violations = append(violations, fmt.Sprintf("FLOW: flow %d got a reset on request %s; its host %s %s runs, holds the flow and sent none",
				fl.local.Port(), id, holder.machine.name, holder.id))
		}
	}
	return violations, nil
}
