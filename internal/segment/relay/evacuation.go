package relay

// SetEvacuated sets whether the data centre of the host is evacuated. The host then gets no new flows. It reports whether
// that has changed. After the end of an evacuation the host may be cold until its next heartbeat says otherwise.
func (r *Relay) SetEvacuated(evacuated bool) (changed bool) {
	changed = r.evacuated != evacuated
	r.evacuated = evacuated
	if changed && !evacuated {
		r.host.maybeCold = true
	}
	return changed
}

// leavesFlow reports whether a flow that was offered to the host is to go to a host elsewhere, because the data centre has
// been evacuated before the host answered.
func (r *Relay) leavesFlow(f *flowEntry) bool { return r.evacuated && f.state == stateOffered }
