package shard

import "agateramp/internal/control/controlpb"

// Event is what a Runner tells a Holder.
type Event interface{ isEvent() }

type (
	// SettingsChanged brings a configuration. One older than that in use is ignored.
	SettingsChanged struct{ Settings *Settings }
	// BalancersChanged lists every balancer that has a leased key.
	BalancersChanged struct{ Names []string }
	// BalancerConnected says that the stream of a balancer is new. The balancer
	// then sends what it knows: its agents, their acknowledgements and its own.
	BalancerConnected struct {
		Name        string
		Incarnation uint64
	}
	// BalancerDisconnected says that the stream of a balancer ended.
	BalancerDisconnected struct{ Name string }
	// Reported brings what an agent announced at a balancer.
	Reported struct {
		Balancer string
		Report   *controlpb.MemberReport
	}
	// Beat brings the busy share of a host.
	Beat struct{ Heartbeat *controlpb.Heartbeat }
	// Acked brings an acknowledgement of a balancer or of an agent attached to it.
	Acked struct {
		Balancer string
		Ack      *controlpb.Ack
	}
	// Suspected says that the stream of an agent at a balancer broke.
	Suspected struct {
		Balancer string
		Suspect  *controlpb.Suspect
	}
	// Published says that the outstanding Publish took effect at a store revision.
	Published struct{ Revision int64 }
	// Reread answers an outstanding Publish with an unknown or failed outcome: it
	// lists the specs that the store holds now.
	Reread struct{ Stored []StoredSpec }
	// Tick lets deadlines pass; it comes at least every 100 ms.
	Tick struct{}
)

func (SettingsChanged) isEvent()      {}
func (BalancersChanged) isEvent()     {}
func (BalancerConnected) isEvent()    {}
func (BalancerDisconnected) isEvent() {}
func (Reported) isEvent()             {}
func (Beat) isEvent()                 {}
func (Acked) isEvent()                {}
func (Suspected) isEvent()            {}
func (Published) isEvent()            {}
func (Reread) isEvent()               {}
func (Tick) isEvent()                 {}

// Effect is what a Holder asks a Runner to do.
type Effect interface{ isEffect() }

type (
	// Publish writes all changes in one transaction under the fence of the
	// holder. It is answered by Published or Reread; no second Publish comes
	// before that.
	Publish struct {
		Changes []Change
		// Settings is the mod revision of the configuration manifest decided by. A
		// spec is only created while it is current: a delayed transaction would
		// otherwise bring back the spec of a service that was removed since.
		Settings int64
	}
	// Push sends a spec to a balancer that has not acknowledged it in time.
	Push struct {
		Balancer string
		Spec     *controlpb.TableSpec
	}
	// Tell sends a suspicion to one balancer, or to all when Balancer is empty.
	Tell struct {
		Balancer string
		Suspect  *controlpb.Suspect
	}
	// HostEjected says that a host is left out because no balancer has its stream.
	HostEjected struct {
		ServiceID uint32
		Host      string
	}
	// HostsKept says that hosts are kept because more than half of a service was lost at once.
	HostsKept struct {
		ServiceID   uint32
		Lost, Total int
	}
	// PublicationBlocked says who has not acknowledged the version that keeps a service from
	// publishing.
	PublicationBlocked struct {
		ServiceID uint32
		Version   uint64
		Waiting   []string
	}
)

// Change is one write of a Publish.
type Change struct {
	// Spec is the new spec. When Delete is set it is the one to delete.
	Spec   *controlpb.TableSpec
	Delete bool
	// Revision is the mod revision that the key must have, 0 when it must not exist.
	Revision int64
}

func (*Publish) isEffect()            {}
func (*Push) isEffect()               {}
func (*Tell) isEffect()               {}
func (*HostEjected) isEffect()        {}
func (*HostsKept) isEffect()          {}
func (*PublicationBlocked) isEffect() {}
