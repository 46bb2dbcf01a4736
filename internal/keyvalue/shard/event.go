package shard

import "agateramp/internal/control/controlpb"

// Event is an input of Holder.Handle.
type Event interface{ isEvent() }

type (
	// SettingsChanged carries a configuration. The holder ignores one that is older than
	// the one in use.
	SettingsChanged struct{ Settings *Settings }
	// BalancersChanged lists every balancer that has a leased key.
	BalancersChanged struct{ Names []string }
	// BalancerConnected reports a new stream of a balancer. On this stream, the balancer
	// reports its agents and sends their acknowledgements and its own.
	BalancerConnected struct {
		Name        string
		Incarnation uint64
	}
	// BalancerDisconnected reports that the stream of a balancer ended.
	BalancerDisconnected struct{ Name string }
	// MemberReported carries what an agent announced at a balancer.
	MemberReported struct {
		Balancer string
		Report   *controlpb.MemberReport
	}
	// HeartbeatReceived carries the busy share of a host.
	HeartbeatReceived struct{ Heartbeat *controlpb.Heartbeat }
	// AckReceived carries the acknowledgement of a table version by Balancer, or by an agent
	// that has a stream at Balancer.
	AckReceived struct {
		Balancer string
		Ack      *controlpb.Ack
	}
	// HostSuspected reports that the stream of an agent at a balancer broke.
	HostSuspected struct {
		Balancer string
		Suspect  *controlpb.Suspect
	}
	// PublishConfirmed answers the outstanding Publish: it was committed at a store
	// revision.
	PublishConfirmed struct{ Revision int64 }
	// PublishUnconfirmed answers an outstanding Publish that failed or whose outcome is
	// unknown. It carries the specs that the store holds now.
	PublishUnconfirmed struct{ Stored []StoredSpec }
	// Tick makes the holder check its deadlines. The Runner sends one every 100 ms; longer
	// gaps mean that the process was paused or busy.
	Tick struct{}
)

func (SettingsChanged) isEvent()      {}
func (BalancersChanged) isEvent()     {}
func (BalancerConnected) isEvent()    {}
func (BalancerDisconnected) isEvent() {}
func (MemberReported) isEvent()       {}
func (HeartbeatReceived) isEvent()    {}
func (AckReceived) isEvent()          {}
func (HostSuspected) isEvent()        {}
func (PublishConfirmed) isEvent()     {}
func (PublishUnconfirmed) isEvent()   {}
func (Tick) isEvent()                 {}

// Effect is an action that Holder.Handle returns for the Runner to carry out.
type Effect interface{ isEffect() }

type (
	// Publish writes all changes in one transaction that is conditional on the fence of the
	// holder. The answer is PublishConfirmed or PublishUnconfirmed; until then the holder
	// returns no second Publish.
	Publish struct {
		Changes []Change
		// SettingsRevision is the mod revision of the configuration manifest that the
		// changes are based on. A spec is created only while this revision is current;
		// otherwise a delayed transaction would restore the spec of a service that was
		// removed in the meantime.
		SettingsRevision int64
	}
	// PushSpec sends a spec to a balancer that has not acknowledged it in time.
	PushSpec struct {
		Balancer string
		Spec     *controlpb.TableSpec
	}
	// SendSuspicion sends a suspicion, or its end, to one balancer, or to all when Balancer
	// is empty.
	SendSuspicion struct {
		Balancer string
		Suspect  *controlpb.Suspect
	}
	// HostEjected reports that a host is left out of the table because its agent has no
	// stream at any balancer.
	HostEjected struct {
		ServiceID uint32
		Host      string
	}
	// HostsKept reports that lost hosts are kept in the table because more than half of the
	// members of a service were lost at once.
	HostsKept struct {
		ServiceID   uint32
		Lost, Total int
	}
	// PublicationBlocked names the balancers and agents that have not acknowledged a
	// version above Version, so that it cannot be retired and the service cannot publish a
	// new one.
	PublicationBlocked struct {
		ServiceID  uint32
		Version    uint64
		WaitingFor []string
	}
)

// Change is one write of a Publish.
type Change struct {
	// Spec is the new spec or, when Delete is set, the one to delete.
	Spec   *controlpb.TableSpec
	Delete bool
	// Revision is the mod revision that the key must have for the write to take effect; 0
	// means that the key must not exist.
	Revision int64
}

func (*Publish) isEffect()            {}
func (*PushSpec) isEffect()           {}
func (*SendSuspicion) isEffect()      {}
func (*HostEjected) isEffect()        {}
func (*HostsKept) isEffect()          {}
func (*PublicationBlocked) isEffect() {}
