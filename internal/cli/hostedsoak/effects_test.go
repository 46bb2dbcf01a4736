package hostedsoak

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"agateramp/internal/keyvalue/store"
)

// disrupt records a disruption and returns what ends it, which runs heal first.
func (f *fleet) disrupt(planned bool, heal func(), targets ...string) (end func()) {
	settle := f.checker.disrupt(time.Now(), planned, targets...)
	return func() {
		heal()
		settle(time.Now())
	}
}

// restart starts a process again after a short delay.
func (f *fleet) restart(p *process) {
	f.pause(f.tasks.Context(), rand.N(restartDelay))
	if err := p.start(); err != nil {
		f.checker.report(time.Now(), "END", "%s did not start: %v", p.name, err)
	}
}

func (f *fleet) killProcess(p *process) (end func()) {
	end = f.disrupt(false, func() { f.restart(p) }, p.name)
	p.kill()
	return end
}

// terminateBalancer stops a balancer as planned and starts it again later, as one that
// takes its place.
func (f *fleet) terminateBalancer(p *process) (end func()) {
	end = f.disrupt(true, func() { f.restart(p) }, p.name)
	p.terminate()
	return end
}

// terminateAgent restarts an agent as planned. The platform starts it again at once: no
// packet reaches its host meanwhile.
func (f *fleet) terminateAgent(p *process) (end func()) {
	f.terminateBalancer(p)()
	return func() {}
}

func (f *fleet) suspendProcess(p *process) (end func()) {
	end = f.disrupt(false, func() { p.signal(syscall.SIGCONT) }, p.name)
	p.signal(syscall.SIGSTOP)
	return end
}

// startHost starts the host of a machine again, cold.
func (f *fleet) startHost(m *machine, id string) {
	if err := m.startHost(id, coldTime); err != nil {
		f.checker.report(time.Now(), "SOAK", "host of %s did not start: %v", m.agent.name, err)
	}
}

// beginCrash ends a host at once. It starts again under another id or the same.
func beginCrash(f *fleet, s step) (end func()) {
	m := f.machines[s.target]
	id := ""
	if h := m.current(); h != nil {
		if s.detail%2 == 0 {
			id = h.id
		}
		h.crash()
	}
	return f.disrupt(false, func() { f.startHost(m, id) }, m.agent.name)
}

// beginDrain lets a host leave as planned, and starts another one at its machine.
func beginDrain(f *fleet, s step) (end func()) {
	m := f.machines[s.target]
	if h := m.current(); h != nil {
		h.drain(time.Duration(s.detail%4000) * time.Millisecond)
	}
	return f.disrupt(true, func() { f.startHost(m, "") }, m.agent.name)
}

// beginReassign gives a machine to the other service: its host leaves as planned, its agent
// follows, and both start again.
func beginReassign(f *fleet, s step) (end func()) {
	m := f.machines[s.target]
	if h := m.current(); h != nil {
		h.drain(0)
	}
	end = f.disrupt(true, func() {
		f.restart(m.agent)
		f.startHost(m, "")
	}, m.agent.name)
	m.starting.Lock()
	defer m.starting.Unlock()
	m.mu.Lock()
	m.service = map[string]string{studio: archive, archive: studio}[m.service]
	err := m.agent.writeSettings(m.service)
	m.mu.Unlock()
	if err != nil {
		f.checker.report(time.Now(), "SOAK", "settings of %s: %v", m.agent.name, err)
	}
	if h := m.current(); h != nil {
		// Another fault has started a host of the old service meanwhile.
		h.crash()
	}
	m.agent.terminate()
	return end
}

func beginReload(f *fleet, s step) (end func()) {
	f.processes()[s.target].signal(syscall.SIGHUP)
	return func() {}
}

// beginOddHeartbeat sends an agent a heartbeat of an earlier start of its host that was
// held up, or one of another writer, with missing fields or that cannot be read.
func beginOddHeartbeat(f *fleet, s step) (end func()) {
	h := f.machines[s.target].current()
	if h == nil {
		return func() {}
	}
	early := h.born - 5000
	body := []string{h.heartbeat("ready", time.Time{}, 7, early), h.heartbeat("draining", time.Time{}, 7, early), `{"service":"` + h.service + `","state":"ready","seq":1}`, "{"}[s.detail%4]
	if response, err := h.m.call(http.MethodPut, "i-early", body); err == nil {
		_ = response.Body.Close()
	}
	return func() {}
}

// beginOddEntry writes an entry of another writer where agents have theirs.
func beginOddEntry(f *fleet, s step) (end func()) {
	value := []string{"", "{", `{"address":7}`, "null"}[s.detail%4]
	if _, err := f.store.data.Txn(f.tasks.Context(), nil, []store.Write{{Key: "agateramp/agent/odd", Value: []byte(value)}}); err != nil {
		f.checker.report(time.Now(), "SOAK", "odd entry: %v", err)
	}
	return func() {}
}

func beginHang(f *fleet, s step) (end func()) {
	h := f.machines[s.target].current()
	if h == nil {
		return func() {}
	}
	h.hang(true)
	return f.disrupt(false, func() { h.hang(false) }, h.m.agent.name)
}

func beginPowerOff(f *fleet, s step) (end func()) {
	m := f.machines[s.target]
	end = f.disrupt(false, func() {
		f.restart(m.agent)
		f.startHost(m, "")
	}, m.agent.name)
	m.agent.kill()
	if h := m.current(); h != nil {
		h.crash()
	}
	return end
}

// beginPowerOffAll ends everything at once but the store and the callers.
func beginPowerOffAll(f *fleet, _ step) (end func()) {
	var names []string
	for _, p := range f.processes() {
		names = append(names, p.name)
	}
	end = f.disrupt(false, func() {
		for _, p := range f.processes() {
			if err := p.start(); err != nil {
				f.checker.report(time.Now(), "END", "%s did not start: %v", p.name, err)
			}
		}
		for _, m := range f.machines {
			f.startHost(m, "")
		}
	}, names...)
	for _, p := range f.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		if h := m.current(); h != nil {
			h.crash()
		}
	}
	return end
}

// beginStoreLink disturbs the store for one machine.
func beginStoreLink(f *fleet, s step) (end func()) {
	p := f.processes()[s.target]
	modes := []storeMode{storeSilent, storeRefuses, storeDrops, storeOneWay, storeLate}
	f.store.setMode(p.address, modes[s.detail%len(modes)])
	return f.disrupt(false, func() { f.store.setMode(p.address, storeUp) }, p.name)
}

// beginStore disturbs the store for all.
func beginStore(f *fleet, s step) (end func()) {
	switch s.detail % 8 {
	case 0:
		f.store.compact()
		return f.disrupt(false, func() {}, storeTarget)
	case 1:
		f.store.lapse()
		return f.disrupt(false, func() {}, storeTarget)
	}
	modes := []storeMode{storeSilent, storeRefuses, storeDrops, storeSlow, storeOneWay, storeLate}
	f.store.setMode(netip.Addr{}, modes[s.detail%8-2])
	return f.disrupt(false, func() { f.store.setMode(netip.Addr{}, storeUp) }, storeTarget)
}

// beginRestore makes a copy of the store, and returns to it at the end. The operator
// writes its keys again shortly after.
func beginRestore(f *fleet, _ step) (end func()) {
	kept := f.store.data.Snapshot()
	return func() {
		f.disrupt(false, func() {
			f.store.data.Restore(kept)
			f.pause(f.tasks.Context(), 500*time.Millisecond)
			f.rewrite()
		}, storeTarget)()
	}
}

// linkStates are what a disturbed link does.
var linkStates = []link{{dropped: 1}, {dropped: 1}, {dropped: 0.2}, {delay: 80 * time.Millisecond}}

// beginMachineLink cuts a machine off from everything, or disturbs its links.
func beginMachineLink(f *fleet, s step) (end func()) {
	p := f.processes()[s.target]
	others := []string{callersName}
	for _, other := range f.processes() {
		if other != p {
			others = append(others, other.name)
		}
	}
	state := linkStates[s.detail%len(linkStates)]
	if state.dropped == 1 {
		f.store.setMode(p.address, storeSilent)
	}
	return f.disturb([]string{p.name}, others, state, s.detail/4%3, func() { f.store.setMode(p.address, storeUp) })
}

// beginCentreLink disturbs the links between two data centres.
func beginCentreLink(f *fleet, s step) (end func()) {
	var from, to []string
	for _, p := range f.processes() {
		switch p.dataCentre {
		case dataCentres[s.target]:
			from = append(from, p.name)
		case dataCentres[(s.target+1)%len(dataCentres)]:
			to = append(to, p.name)
		}
	}
	return f.disturb(from, to, linkStates[s.detail%len(linkStates)], s.detail/4%3, func() {})
}

// disturb sets links: one way, the other way or both.
func (f *fleet) disturb(a, b []string, state link, ways int, heal func()) (end func()) {
	if ways != 1 {
		f.links.set(a, b, state)
	}
	if ways != 2 {
		f.links.set(b, a, state)
	}
	targets := a
	if len(a) > 1 {
		targets = append(append([]string(nil), a...), b...)
	}
	return f.disrupt(false, func() {
		f.links.set(a, b, link{})
		f.links.set(b, a, link{})
		heal()
	}, targets...)
}

// beginConfig adds, drops or moves a route, and checks at the balancers what happens to
// packets for it.
func beginConfig(f *fleet, s step) (end func()) {
	added, dropped := routeAddress(1, byte(s.at/(100*time.Millisecond))), netip.AddrPort{}
	never := routeAddress(2, 1)
	services := []string{studio, archive}
	f.configure(func() {
		f.timeoutMS = 1500 + s.detail%1000
		for route := range f.routes {
			if route.Addr().As4()[2] != 1 {
				continue
			}
			if s.detail%3 == 0 {
				f.routes[route] = services[s.detail/3%2]
				continue
			}
			dropped = route
			delete(f.routes, route)
			break
		}
		f.routes[added] = services[s.detail/3%2]
	})
	for range 10 {
		f.pause(f.tasks.Context(), 400*time.Millisecond)
		now := time.Now()
		f.callers.check(now, added)
		f.callers.check(now, never)
		if dropped.IsValid() {
			f.callers.check(now, dropped)
		}
	}
	return func() {}
}

// beginEvacuation evacuates one data centre, two or all. Some of their hosts become cold
// before they are taken back.
func beginEvacuation(f *fleet, s step) (end func()) {
	count := 1 + s.detail%5/2
	first := s.detail / 5
	evacuated := make(map[string]bool)
	for i := range count {
		dc := dataCentres[(first+i)%len(dataCentres)]
		evacuated[dc] = true
		f.evacuate(dc, true)
	}
	for i, m := range f.machines {
		if h := m.current(); h != nil && evacuated[m.agent.dataCentre] && (s.detail>>4+i)%3 > 0 {
			h.cool(time.Now().Add(s.length + coldTime))
		}
	}
	return func() {
		for dc := range evacuated {
			f.evacuate(dc, false)
		}
	}
}

// beginOverload multiplies the traffic.
func beginOverload(f *fleet, _ step) (end func()) {
	f.callers.setFactor(overloadFactor)
	from := time.Now()
	return func() {
		f.callers.setFactor(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.overloads = append(f.overloads, span{from: from, to: time.Now()})
	}
}
