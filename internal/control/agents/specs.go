package agents

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
)

// unconfirmedSuspicionTTL is how long suspicions of a previous shard holder remain. The new holder
// reports hosts without a stream to any balancer when its grace time of 10 s is over.
const unconfirmedSuspicionTTL = 20 * time.Second

// suspicionKey identifies a suspicion by service id and host name.
type suspicionKey struct {
	service uint32
	host    string
}

// suspicion records that the agent of a host is suspected to be dead.
type suspicion struct {
	// address is the data address of the agent.
	address netip.AddrPort
	// expiresAt is when the suspicion ends. If zero, it lasts until the shard holder withdraws it.
	expiresAt time.Time
}

// Specs returns the newest known spec of each service. The specs are shared and
// must not be changed.
func (s *Service) Specs() map[uint32]*controlpb.TableSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	specs := make(map[uint32]*controlpb.TableSpec, len(s.specs))
	for id, spec := range s.specs {
		specs[id] = spec
	}
	return specs
}

// watchTables applies the table specs in the store and their changes until ctx ends.
func (s *Service) watchTables(ctx context.Context) error {
	shard.WatchWithRetry(ctx, s.config.Logger, shard.TablePrefix, func(ctx context.Context) error {
		return shard.ListAndWatch(ctx, s.config.Store, shard.TablePrefix, s.handleTableList, func(batch store.WatchBatch) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for i := range batch.Events {
				s.handleTableEvent(&batch.Events[i])
			}
		})
	})
	return nil
}

// handleTableList applies the table specs of a full read of the store and removes those of
// services that it does not list. The streams to the seeds end, because they are needed only
// until the first read.
func (s *Service) handleTableList(entries []store.Entry, _ store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[uint32]bool{}
	for i := range entries {
		if id, ok := shard.ServiceOfTableKey(entries[i].Key); ok {
			listed[id] = true
		}
		s.handleTableEvent(&store.Event{Entry: entries[i]})
	}
	for id := range s.specs {
		if !listed[id] {
			s.removeSpec(id)
		}
	}
	s.tablesRead = true
	for _, d := range s.seedDialers {
		d.Stop()
	}
	s.seedDialers = nil
	s.updateVersionInForce()
}

// handleTableEvent applies the change of one table key. It is called with mu held.
func (s *Service) handleTableEvent(e *store.Event) {
	if e.Deleted {
		if id, ok := shard.ServiceOfTableKey(e.Entry.Key); ok {
			s.removeSpec(id)
		}
		return
	}
	stored, err := shard.ParseTable(&e.Entry)
	if err != nil {
		_ = level.Error(s.config.Logger).Log("event", "table_spec_unreadable", "err", err)
		return
	}
	s.applySpec(stored.Spec)
}

// removeSpec deletes the spec and the table of a service and records its version in removedVersions.
func (s *Service) removeSpec(id uint32) {
	if spec := s.specs[id]; spec != nil {
		s.removedVersions[id] = shard.NewestVersion(spec)
		delete(s.specs, id)
		s.config.Tables.Remove(id)
		s.updateVersionInForce()
	}
}

// applySpec puts a spec into use, acknowledges it to the shard holder and forwards it to the
// agents of the service. It ignores a spec that is not newer than the one in use, or than the last
// one of a service that was removed.
func (s *Service) applySpec(spec *controlpb.TableSpec) {
	id := spec.GetServiceId()
	if !shard.Newer(spec, s.specs[id]) || shard.NewestVersion(spec) <= s.removedVersions[id] {
		return
	}
	if _, err := s.config.Tables.Update(spec); err != nil {
		_ = level.Error(s.config.Logger).Log("event", "table_spec_refused", "service", id, "version", shard.NewestVersion(spec), "err", err)
		return
	}
	s.specs[id] = spec
	s.sendSpecAck(spec)
	f := tableFrame(spec)
	for _, a := range s.agents {
		if a.service == spec.GetService().GetName() {
			_ = a.peer.Send(f)
			s.sendDrainOrder(a, spec, false)
		}
	}
	s.updateVersionInForce()
}

// updateVersionInForce advances versionInForce to the current configuration and reports it to the
// registrar if every service has a table spec that is as new as its definition.
func (s *Service) updateVersionInForce() {
	if s.settings.Version <= s.versionInForce || !s.tablesRead {
		return
	}
	for _, c := range s.settings.Services {
		spec := s.specs[c.Service.GetId()]
		if spec == nil || spec.GetConfigVersion() < c.ConfigVersion {
			return
		}
	}
	s.versionInForce = s.settings.Version
	s.registrar.ReportConfigVersion(s.versionInForce)
}

// PendingServices returns the ids of the services without a table spec that is as new as their
// definition in the configuration.
func (s *Service) PendingServices() (ids []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.settings.Services {
		if spec := s.specs[c.Service.GetId()]; spec == nil || spec.GetConfigVersion() < c.ConfigVersion {
			ids = append(ids, c.Service.GetId())
		}
	}
	return ids
}

// applySuspicion records or ends the suspicion of a host and applies it to the tables. It ignores a
// report about an incarnation older than the one in the spec.
func (s *Service) applySuspicion(report *controlpb.Suspect) {
	key := suspicionKey{report.GetServiceId(), report.GetHost()}
	if !report.GetSuspected() {
		if current := s.suspicions[key]; current != nil {
			delete(s.suspicions, key)
			s.config.Tables.SetSuspected(current.address, false)
		}
		return
	}
	if current := s.suspicions[key]; current != nil {
		current.expiresAt = time.Time{}
		return
	}
	for _, v := range s.specs[report.GetServiceId()].GetVersions() {
		for _, m := range v.GetMembers() {
			if m.GetHost() != report.GetHost() || m.GetIncarnation() > report.GetIncarnation() {
				continue
			}
			if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
				s.suspicions[key] = &suspicion{address: address}
				s.config.Tables.SetSuspected(address, true)
			}
			return
		}
	}
}

// setSuspicionExpiry sets an expiry time for the suspicions of shard n. If the new holder of the shard
// reports one of them again, applySuspicion clears its expiry time.
func (s *Service) setSuspicionExpiry(n int) {
	expiresAt := time.Now().Add(unconfirmedSuspicionTTL)
	for key, current := range s.suspicions {
		if shard.Of(key.service) == n && current.expiresAt.IsZero() {
			current.expiresAt = expiresAt
		}
	}
}

// expireSuspicions ends the suspicions that the current shard holder has not confirmed in time, and
// those of hosts that no retained table version lists.
func (s *Service) expireSuspicions(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			s.mu.Lock()
			for key, current := range s.suspicions {
				expired := !current.expiresAt.IsZero() && now.After(current.expiresAt)
				if expired || !listsHost(s.specs[key.service], key.host) {
					delete(s.suspicions, key)
					s.config.Tables.SetSuspected(current.address, false)
				}
			}
			s.mu.Unlock()
		}
	}
}

// listsHost reports whether a retained version of a spec lists a host. A nil spec lists none.
func listsHost(spec *controlpb.TableSpec, host string) bool {
	for _, v := range spec.GetVersions() {
		for _, m := range v.GetMembers() {
			if m.GetHost() == host {
				return true
			}
		}
	}
	return false
}
