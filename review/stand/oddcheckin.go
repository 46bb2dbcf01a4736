package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// playOddCheckIn opens flows at two hosts and lets them rest. Then another writer sends
// one check-in with missing fields to the agent beside one of the hosts.
func playOddCheckIn(f *fleet, trouble bool) (violations []string, err error) {
	const service, machineCount, flowCount = "orderdesk", 2, 24
	f.setConfig(3, service)
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
		hosts = append(hosts, h)
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
	time.Sleep(idleAfterRestart)
	if trouble {
		if err = f.sendOddCheckIn(hosts[0].machine); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	for _, fl := range flows {
		for _, h := range hosts {
			if h.holds(fl.local) && fl.resetReceived() {
				violations = append(violations, fmt.Sprintf("FLOW: flow %d got a reset; its host %s %s runs, holds the flow and sent none", fl.local.Port(), h.machine.name, h.id))
			}
		}
	}
	if trouble {
		time.Sleep(8 * time.Second) // shows in the record how long the host's own check-ins are refused
	}
	return violations, nil
}

// sendOddCheckIn sends a check-in without zone, version and cold_left_ms.
func (f *fleet) sendOddCheckIn(m *machine) (err error) {
	body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","capacity":5,"state":"ready","seq":1,"born":%d}`, m.service, m.address, f.appPort, time.Now().UnixMilli())
	url := fmt.Sprintf("http://%s:%d/v1/instances/i-%08x", m.address, f.controlPort, rand.Uint32())
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return err
	}
	f.record.logf("another writer sends %s to %s: %d", body, m.name, response.StatusCode)
	return response.Body.Close()
}
