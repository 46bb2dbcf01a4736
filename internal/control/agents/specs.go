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

// suspicionTime is how long suspicions of an earlier shard holder stand. A new
// one says within its grace time of 10 s which hosts it has not heard of.
const suspicionTime = 20 * time.Second

type suspectKey struct {
	service uint32
	host    string
}

type suspicion struct {
	address netip.AddrPort
	// until is when the suspicion ends; zero means when the holder says so.
	until time.Time
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

// watchTables follows the table specs in the store.
func (s *Service) watchTables(ctx context.Context) error {
	shard.Follow(ctx, s.config.Logger, shard.TablePrefix, func(ctx context.Context) error {
		return shard.Watched(ctx, s.config.Store, shard.TablePrefix, s.tablesListed, func(batch store.WatchBatch) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for i := range batch.Events {
				s.tableEvent(&batch.Events[i])
			}
		})
	})
	return nil
}

func (s *Service) tablesListed(entries []store.Entry, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[uint32]bool{}
	for i := range entries {
		if id, ok := shard.ServiceOfTableKey(entries[i].Key); ok {
			found[id] = true
		}
		s.tableEvent(&store.Event{Entry: entries[i]})
	}
	for id := range s.specs {
		if !found[id] {
			s.remove(id)
		}
	}
	s.listed = true
	for _, d := range s.seeds {
		d.Stop()
	}
	s.seeds = nil
	s.checkInForce()
}

func (s *Service) tableEvent(e *store.Event) {
	if e.Deleted {
		if id, ok := shard.ServiceOfTableKey(e.Entry.Key); ok {
			s.remove(id)
		}
		return
	}
	stored, err := shard.ParseTable(&e.Entry)
	if err != nil {
		_ = level.Error(s.config.Logger).Log("event", "table_spec_unreadable", "err", err)
		return
	}
	s.learn(stored.Spec)
}

func (s *Service) remove(id uint32) {
	if spec := s.specs[id]; spec != nil {
		s.removed[id] = shard.Newest(spec)
		delete(s.specs, id)
		s.config.Tables.Remove(id)
		s.checkInForce()
	}
}

// learn takes a spec into use when it is newer than the one in use, confirms it
// to the shard holder and passes it on to the agents of the service.
func (s *Service) learn(spec *controlpb.TableSpec) {
	id := spec.GetServiceId()
	if !shard.Newer(spec, s.specs[id]) || shard.Newest(spec) <= s.removed[id] {
		return
	}
	if _, err := s.config.Tables.Update(spec); err != nil {
		_ = level.Error(s.config.Logger).Log("event", "table_spec_refused", "service", id, "version", shard.Newest(spec), "err", err)
		return
	}
	s.specs[id] = spec
	s.acknowledge(spec)
	f := tableFrame(spec)
	for _, a := range s.agents {
		if a.service == spec.GetService().GetName() {
			_ = a.peer.Send(f)
			s.order(a, spec, false)
		}
	}
	s.checkInForce()
}

// checkInForce reports the configuration version when every service has a spec
// with its definition.
func (s *Service) checkInForce() {
	if s.settings.Version <= s.inForce || !s.listed {
		return
	}
	for _, c := range s.settings.Services {
		spec := s.specs[c.Service.GetId()]
		if spec == nil || spec.GetConfigVersion() < c.ConfigVersion {
			return
		}
	}
	s.inForce = s.settings.Version
	s.registrar.InForce(s.inForce)
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

// suspect passes a suspicion on to the tables.
func (s *Service) suspect(c *controlpb.Suspect) {
	key := suspectKey{c.GetServiceId(), c.GetHost()}
	if !c.GetSuspected() {
		if known := s.suspected[key]; known != nil {
			delete(s.suspected, key)
			s.config.Tables.SetSuspected(known.address, false)
		}
		return
	}
	if known := s.suspected[key]; known != nil {
		known.until = time.Time{}
		return
	}
	for _, v := range s.specs[c.GetServiceId()].GetVersions() {
		for _, m := range v.GetMembers() {
			if m.GetHost() != c.GetHost() || m.GetIncarnation() > c.GetIncarnation() {
				continue
			}
			if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
				s.suspected[key] = &suspicion{address: address}
				s.config.Tables.SetSuspected(address, true)
			}
			return
		}
	}
}

// doubtSuspicions lets the suspicions of a shard end unless its new holder has them too.
func (s *Service) doubtSuspicions(n int) {
	until := time.Now().Add(suspicionTime)
	for key, known := range s.suspected {
		if shard.Of(key.service) == n && known.until.IsZero() {
			known.until = until
		}
	}
}

// expire ends suspicions that the present holder has not confirmed, and those of
// hosts that no retained version lists.
func (s *Service) expire(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			s.mu.Lock()
			for key, known := range s.suspected {
				over := !known.until.IsZero() && now.After(known.until)
				if over || !lists(s.specs[key.service], key.host) {
					delete(s.suspected, key)
					s.config.Tables.SetSuspected(known.address, false)
				}
			}
			s.mu.Unlock()
		}
	}
}

func lists(spec *controlpb.TableSpec, host string) bool {
	for _, v := range spec.GetVersions() {
		for _, m := range v.GetMembers() {
			if m.GetHost() == host {
				return true
			}
		}
	}
	return false
}
