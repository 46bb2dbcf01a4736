package shard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// tickInterval lies between two ticks of the holders.
const tickInterval = 100 * time.Millisecond

// HolderInfo names the holder of a shard.
type HolderInfo struct {
	HolderRecord
	// Fence is the create revision of the lease key. A later holder has a higher one.
	Fence int64
}

// Config configures a Runner.
type Config struct {
	// Name and ControlAddress are those of this balancer. They must be set.
	Name, ControlAddress string
	// Store holds the leases and the specs. It must be set.
	Store store.Store
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Send sends a frame to a balancer, or to all with a stream when the name is
	// empty, this balancer included. It must be set and must not block.
	Send func(balancer string, f *controlpb.Frame)
	// HoldersChanged is called with every known holder by shard when one changes. It must
	// be set and must not block.
	HoldersChanged func(holders map[int]HolderInfo)
	// Observe is called with each Ejected, Kept and Blocked effect, for the audit
	// trail. Empty means that they are only logged. It must not block.
	Observe func(e Effect)
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
}

// Runner contends for shards and runs the holders of those that it has.
type Runner struct {
	config  Config
	events  chan func(now time.Time)
	holding chan struct{} // signals a change of the number of held shards
	lease   *lease
	// heldCount is the number of held shards, for tasks outside of the loop.
	heldCount atomic.Int64

	// The fields below belong to the loop.
	settings *Settings
	holders  map[int]HolderInfo
	held     map[int]*held
	// taking holds the shards that an attempt to take is running for.
	taking  map[int]bool
	streams map[string]uint64
}

// held is a shard that this process holds.
type held struct {
	holder *Holder
	// ctx ends when the process steps down.
	ctx  context.Context
	stop context.CancelFunc
}

// New starts a Runner.
func New(config Config) (r *Runner, err error) {
	if config.Name == "" || config.ControlAddress == "" || config.Store == nil || config.Group == nil ||
		config.Send == nil || config.HoldersChanged == nil {
		return nil, errors.New("shard: Name, ControlAddress, Store, Group, Send and Holders must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Observe == nil {
		config.Observe = func(Effect) {}
	}
	r = &Runner{
		config: config, events: make(chan func(time.Time), 4096), holding: make(chan struct{}, 1),
		holders: map[int]HolderInfo{}, held: map[int]*held{}, taking: map[int]bool{}, streams: map[string]uint64{},
	}
	r.lease = newLease(config.Store, shardLeaseSeconds)
	config.Group.Go("shard holders", r.loop)
	config.Group.Go("shard watch", r.watchHolders)
	config.Group.Go("shard lease", r.renew)
	config.Group.Go("shard balancers", r.watchBalancers)
	return r, nil
}

// Configure brings a configuration.
func (r *Runner) Configure(s *Settings) {
	r.post(func(now time.Time) {
		if r.settings != nil && s.Version < r.settings.Version {
			return
		}
		r.settings = s
		r.all(now, SettingsChanged{s})
	})
}

// Connected says that the stream of a balancer is new; this balancer counts too.
func (r *Runner) Connected(balancer string, incarnation uint64) {
	r.post(func(now time.Time) {
		r.streams[balancer] = incarnation
		r.all(now, BalancerConnected{balancer, incarnation})
	})
}

// Disconnected says that the stream of a balancer ended.
func (r *Runner) Disconnected(balancer string) {
	r.post(func(now time.Time) {
		delete(r.streams, balancer)
		r.all(now, BalancerDisconnected{balancer})
	})
}

// Receive takes a frame of a balancer for the holder of a shard. A frame for a
// shard that is not held here is dropped; its sender sends again to the holder.
func (r *Runner) Receive(balancer string, f *controlpb.Frame) {
	var event Event
	shard := -1
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Member:
		event = Reported{balancer, b.Member}
	case *controlpb.Frame_Heartbeat:
		event = Beat{b.Heartbeat}
	case *controlpb.Frame_Ack:
		event, shard = Acked{balancer, b.Ack}, Of(b.Ack.GetServiceId())
	case *controlpb.Frame_Suspect:
		event, shard = Suspected{balancer, b.Suspect}, Of(b.Suspect.GetServiceId())
	default:
		return
	}
	r.post(func(now time.Time) {
		if shard < 0 {
			r.all(now, event)
		} else if h := r.held[shard]; h != nil {
			r.handle(now, shard, h, event)
		}
	})
}

// post hands work to the loop. It waits when the loop is behind, which holds up
// the stream that the work came from.
func (r *Runner) post(work func(now time.Time)) {
	select {
	case r.events <- work:
	case <-r.config.Group.Context().Done():
	}
}

func (r *Runner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		for shard := range r.held {
			r.drop(shard, "the process stops")
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-r.events:
			work(time.Now())
		case <-tick.C:
			r.all(time.Now(), Tick{})
		}
	}
}

func (r *Runner) all(now time.Time, e Event) {
	for shard, h := range r.held {
		r.handle(now, shard, h, e)
	}
}

func (r *Runner) handle(now time.Time, shard int, h *held, e Event) {
	for _, effect := range h.holder.Handle(now, e, nil) {
		switch effect := effect.(type) {
		case *Publish:
			r.write(shard, h, effect)
		case *Push:
			r.config.Send(effect.Balancer, &controlpb.Frame{Body: &controlpb.Frame_Table{Table: effect.Spec}})
		case *Tell:
			r.config.Send(effect.Balancer, &controlpb.Frame{Body: &controlpb.Frame_Suspect{Suspect: effect.Suspect}})
		case *HostEjected:
			_ = level.Warn(r.config.Logger).Log("event", "host_left_out", "service", effect.ServiceID, "host", effect.Host)
			r.config.Observe(effect)
		case *HostsKept:
			_ = level.Warn(r.config.Logger).Log("event", "most_hosts_lost", "service", effect.ServiceID,
				"lost", effect.Lost, "members", effect.Total)
			r.config.Observe(effect)
		case *PublicationBlocked:
			_ = level.Warn(r.config.Logger).Log("event", "publication_waits", "service", effect.ServiceID,
				"version", effect.Version, "waiting", len(effect.Waiting), "first", effect.Waiting[0])
			r.config.Observe(effect)
		}
	}
}

// write runs a publication beside the loop.
func (r *Runner) write(shard int, h *held, p *Publish) {
	fence := h.holder.Fence()
	r.config.Group.Go("publish", func(context.Context) error {
		answer, err := write(h.ctx, r.config.Store, shard, fence, p)
		if h.ctx.Err() != nil {
			return nil
		}
		r.post(func(now time.Time) {
			if r.held[shard] != h {
				return
			}
			if err != nil {
				r.drop(shard, err.Error())
				return
			}
			r.handle(now, shard, h, answer)
		})
		return nil
	})
}

// drop steps down from a shard.
func (r *Runner) drop(shard int, reason string) {
	h := r.held[shard]
	if h == nil {
		return
	}
	delete(r.held, shard)
	h.stop()
	r.heldCount.Store(int64(len(r.held)))
	r.signal()
	_ = level.Info(r.config.Logger).Log("event", "shard_given_up", "shard", shard, "reason", reason)
}

// signal wakes the tasks that run only while shards are held.
func (r *Runner) signal() {
	select {
	case r.holding <- struct{}{}:
	default:
	}
}
