package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// idleBeforeRestart and idleAfterRestart are how long the flows rest before the restarts
// and after the last of them. The latter is longer than stable_ms.
const (
	idleBeforeRestart = 500 * time.Millisecond
	idleAfterRestart  = 5 * time.Second
)

// playAgentRoll does the same as playAgentRestart with eleven machines, and restarts their
// agents in turn at any moment, 0.5 s after they have ended.
func playAgentRoll(f *fleet, trouble bool) (violations []string, err error) {
	const service, machineCount, rounds, flowsEach, gap, delay = "orderdesk", 11, 3, 6, 1300 * time.Millisecond, 500 * time.Millisecond
	f.setConfig(3, service)
	var hosts []*host
	for n := range byte(machineCount) {
		m, err := f.startMachine(n, service)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Duration(rand.Int64N(int64(heartbeatInterval))))
		h, err := m.startHost(0)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	if err = f.startBalancer(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	flows := make(map[*host][]*callerFlow)
	for range flowsEach * machineCount {
		fl := f.caller.newFlow(f.target(0))
		if got := fl.open(); got != outcomeAnswered {
			return nil, fmt.Errorf("flow %d did not open: %s", fl.local.Port(), got)
		}
		if id, got := fl.request(); got != outcomeAnswered {
			return nil, fmt.Errorf("request %s: %s", id, got)
		}
		for _, h := range hosts {
			if h.holds(fl.local) {
				flows[h] = append(flows[h], fl)
			}
		}
	}
	due := make(map[*host]time.Time)
	for range rounds * machineCount {
		h := hosts[0]
		hosts = append(hosts[1:], h)
		started := time.Now()
		// The flows have rested for a shorter time than idle_timeout_ms when they are used.
		violations = append(violations, useFlows(h, flows)...)
		if trouble {
			if err = f.restart(h.machine.agent, syscall.SIGTERM, delay); err != nil {
				return nil, err
			}
		}
		due[h] = time.Now().Add(idleAfterRestart)
		for time.Since(started) < gap {
			time.Sleep(10 * time.Millisecond)
			violations = append(violations, useDueFlows(due, flows)...)
		}
	}
	time.Sleep(idleAfterRestart)
	return append(violations, useDueFlows(due, flows)...), nil
}

// useDueFlows uses the flows of the hosts whose time has come.
func useDueFlows(due map[*host]time.Time, flows map[*host][]*callerFlow) (violations []string) {
	for h, at := range due {
		if time.Now().After(at) {
			delete(due, h)
			violations = append(violations, useFlows(h, flows)...)
		}
	}
	return violations
}

// useFlows sends a request on each flow of a host. Flows that are reset are not used again.
func useFlows(h *host, flows map[*host][]*callerFlow) (violations []string) {
	var left []*callerFlow
	for _, fl := range flows[h] {
		holds := h.holds(fl.local)
		id, got := fl.request()
		switch {
		case got == outcomeAnswered:
			left = append(left, fl)
		case got == outcomeReset && holds:
			violations = append(violations, fmt.Sprintf("FLOW: flow %d got a reset on request %s; its host %s %s runs, holds the flow and sent none",
				fl.local.Port(), id, h.machine.name, h.id))
		}
	}
	flows[h] = left
	return violations
}

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
