package router

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

// Decide says what becomes of a packet.
func (r *Router) Decide(_ time.Time, p *flow.Packet, scratch *Scratch) Decision {
	r.hints.touch(p.Hash)
	address, port := p.Key.Destination16()
	s := r.addresses.Load().get(p.Key.Protocol(), address, port)
	if s == nil {
		return scratch.dropped(flow.ReasonUnknownService)
	}
	st := s.state.Load()
	t := st.table
	f := &scratch.forward
	f.Header = flow.Header{ServiceID: t.ServiceID(), ReturnAddress: r.self}
	if !t.SetPath(&f.Header, p.Hash) {
		return scratch.dropped(flow.ReasonNoHosts)
	}
	if st.suspected != nil {
		st.avoid(&f.Header)
	}
	f.To = f.Header.Path[0].Address
	// A SYN starts a new flow, of which a hint knows nothing.
	if !p.SYN {
		if owner := r.owner(st, p.Hash); owner.IsValid() {
			f.To, f.Header.Hinted = owner, true
		}
	}
	return f
}

// owner returns the hinted owner of a flow, if it can still have it: a host that
// left the service would drop the packet.
func (r *Router) owner(st *state, hash uint64) (owner netip.AddrPort) {
	number, ok := r.hints.get(hash)
	if !ok {
		return owner
	}
	owner = r.agents.get(number, st.table)
	if owner.IsValid() && st.isSuspected(owner) {
		return netip.AddrPort{}
	}
	return owner
}

func (st *state) isSuspected(address netip.AddrPort) bool {
	if st.suspected == nil {
		return false
	}
	_, ok := st.suspected[address]
	return ok
}

// avoid takes suspected agents off a path. A suspected first choice is replaced
// by the second choice, which then decides. A suspected agent of an older
// version is left out: otherwise new flows would go to a dead host until that
// version is retired, although the newest version no longer names it. When every
// agent is suspected the path stays as it is.
func (st *state) avoid(h *flow.Header) {
	var kept [flow.MaxPath]flow.Hop
	n := 0
	hops := h.Path[:h.PathLen]
	firstSuspected := st.isSuspected(hops[0].Address)
	if firstSuspected && h.SecondChoice.IsValid() && !st.isSuspected(h.SecondChoice) {
		kept[0] = flow.Hop{Address: h.SecondChoice, RoleVersion: hops[0].RoleVersion}
		n = 1
	}
	for _, hop := range hops {
		if st.isSuspected(hop.Address) {
			continue
		}
		if n > 0 && kept[n-1].Address == hop.Address {
			kept[n-1].RoleVersion = hop.RoleVersion
			continue
		}
		kept[n] = hop
		n++
	}
	if n == 0 {
		return
	}
	h.Path, h.PathLen, h.FirstSuspected = kept, n, firstSuspected
}
