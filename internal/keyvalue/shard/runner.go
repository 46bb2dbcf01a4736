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

// tickInterval is the time between two ticks of the holders.
const tickInterval = 100 * time.Millisecond

// HolderInfo describes the holder of a shard.
type HolderInfo struct {
	HolderRecord
	// Fence is the create revision of the holder key. A later holder has a higher one.
	Fence int64
}

// Config configures a Runner.
type Config struct {
	// Name and ControlAddress are those of this balancer. They must be set.
	Name, ControlAddress string
	// Store holds the holder keys and the specs. It must be set.
	Store store.Store
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Send sends a frame to a balancer. If the name is empty, the frame goes to all
	// balancers that have a stream, this one included. Send must be set and must not block.
	Send func(balancer string, f *controlpb.Frame)
	// HoldersChanged is called with the known holder of each shard whenever one changes. It
	// must be set and must not block.
	HoldersChanged func(holders map[int]HolderInfo)
	// Observe is called with each HostEjected, HostsKept and PublicationBlocked effect, for
	// the audit trail. If nil, these effects are only logged. It must not block.
	Observe func(e Effect)
	// Logger receives the log lines. If nil, none are written.
	Logger log.Logger
}

// Runner competes for shards and runs the holders of those that this process holds. Its
// methods are safe for concurrent use. They queue work for one goroutine, the loop, and
// block while 4096 items are queued.
type Runner struct {
	config      Config
	work        chan func(now time.Time)
	heldChanged chan struct{} // receives a value for watchBalancers when held changes
	lease       *lazyLease
	// heldCount is the number of held shards, for tasks other than the loop.
	heldCount atomic.Int64

	// Only the loop uses the fields below.
	settings *Settings // nil until Configure is called
	// generation is the generation of the store that holders and held are of.
	generation uint64
	// holders holds the known holder of each shard, which may be this process. held holds
	// the shards that this process holds.
	holders map[int]HolderInfo
	held    map[int]*heldShard
	// acquiring holds the shards for which an attempt to acquire them is running.
	acquiring map[int]bool
	// connected holds the incarnations of the balancers that have a stream.
	connected map[string]uint64
}

// heldShard is a shard that this process holds.
type heldShard struct {
	holder *Holder
	// ctx ends when the process gives up the shard.
	ctx  context.Context
	stop context.CancelFunc
}

// New starts a Runner. It runs until the context of Group ends.
func New(config Config) (r *Runner, err error) {
	if config.Name == "" || config.ControlAddress == "" || config.Store == nil || config.Group == nil ||
		config.Send == nil || config.HoldersChanged == nil {
		return nil, errors.New("shard: Name, ControlAddress, Store, Group, Send and HoldersChanged must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Observe == nil {
		config.Observe = func(Effect) {}
	}
	r = &Runner{
		config: config, work: make(chan func(time.Time), 4096), heldChanged: make(chan struct{}, 1),
		holders: map[int]HolderInfo{}, held: map[int]*heldShard{}, acquiring: map[int]bool{},
		connected: map[string]uint64{},
	}
	r.lease = newLazyLease(config.Store, shardLeaseSeconds)
	config.Group.Go("shard holders", r.loop)
	config.Group.Go("shard watch", r.watchHolders)
	config.Group.Go("shard lease", r.renewLease)
	config.Group.Go("shard balancers", r.watchBalancers)
	return r, nil
}

// Configure passes a configuration to the holders. It ignores one that is older than the
// last. The caller must not change s afterwards.
func (r *Runner) Configure(s *Settings) {
	r.post(func(now time.Time) {
		if r.settings != nil && s.Version < r.settings.Version {
			return
		}
		r.settings = s
		r.handleAll(now, SettingsChanged{s})
	})
}

// Connected reports a new stream of a balancer. It is also called for this balancer itself.
func (r *Runner) Connected(balancer string, incarnation uint64) {
	r.post(func(now time.Time) {
		r.connected[balancer] = incarnation
		r.handleAll(now, BalancerConnected{balancer, incarnation})
	})
}

// Disconnected reports that the stream of a balancer ended.
func (r *Runner) Disconnected(balancer string) {
	r.post(func(now time.Time) {
		delete(r.connected, balancer)
		r.handleAll(now, BalancerDisconnected{balancer})
	})
}

// Receive passes a frame from a balancer to the holder of the shard concerned. A frame for
// a shard that is not held here is dropped; the balancer sends it again to the holder.
// Frames other than member reports, heartbeats, acknowledgements and suspicions are ignored.
func (r *Runner) Receive(balancer string, f *controlpb.Frame) {
	var event Event
	shard := -1
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Member:
		event = MemberReported{balancer, b.Member}
	case *controlpb.Frame_Heartbeat:
		event = HeartbeatReceived{b.Heartbeat}
	case *controlpb.Frame_Ack:
		event, shard = AckReceived{balancer, b.Ack}, Of(b.Ack.GetServiceId())
	case *controlpb.Frame_Suspect:
		event, shard = HostSuspected{balancer, b.Suspect}, Of(b.Suspect.GetServiceId())
	default:
		return
	}
	r.post(func(now time.Time) {
		if shard < 0 {
			r.handleAll(now, event)
		} else if h := r.held[shard]; h != nil {
			r.handle(now, shard, h, event)
		}
	})
}

// post queues work for the loop. It blocks while the queue is full, which slows down the
// stream that the work came from.
func (r *Runner) post(work func(now time.Time)) {
	select {
	case r.work <- work:
	case <-r.config.Group.Context().Done():
	}
}

// loop runs the queued work and the ticks one at a time.
func (r *Runner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		for shard := range r.held {
			r.stepDown(shard, "the process stops")
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-r.work:
			work(time.Now())
		case <-tick.C:
			r.handleAll(time.Now(), Tick{})
		}
	}
}

// handleAll passes an event to the holders of all held shards.
func (r *Runner) handleAll(now time.Time, e Event) {
	for shard, h := range r.held {
		r.handle(now, shard, h, e)
	}
}

// handle passes an event to a holder and carries out the effects.
func (r *Runner) handle(now time.Time, shard int, h *heldShard, e Event) {
	for _, effect := range h.holder.Handle(now, e, nil) {
		switch effect := effect.(type) {
		case *Publish:
			r.publish(shard, h, effect)
		case *PushSpec:
			r.config.Send(effect.Balancer, &controlpb.Frame{Body: &controlpb.Frame_Table{Table: effect.Spec}})
		case *SendSuspicion:
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
				"version", effect.Version, "waiting", len(effect.WaitingFor), "first", effect.WaitingFor[0])
			r.config.Observe(effect)
		}
	}
}

// publish writes a publication in a separate task, so that the loop is not blocked, and
// passes the outcome to the holder. If the write fails, the process gives up the shard.
func (r *Runner) publish(shard int, h *heldShard, p *Publish) {
	fence := h.holder.Fence()
	r.config.Group.Go("publish", func(context.Context) error {
		answer, err := executePublish(h.ctx, r.config.Store, shard, fence, p)
		if h.ctx.Err() != nil {
			return nil
		}
		r.post(func(now time.Time) {
			if r.held[shard] != h {
				return
			}
			if err != nil {
				r.stepDown(shard, err.Error())
				return
			}
			r.handle(now, shard, h, answer)
		})
		return nil
	})
}

// stepDown gives up a shard. It does nothing if the shard is not held.
func (r *Runner) stepDown(shard int, reason string) {
	h := r.held[shard]
	if h == nil {
		return
	}
	delete(r.held, shard)
	h.stop()
	r.heldCount.Store(int64(len(r.held)))
	r.signalHeldChanged()
	_ = level.Info(r.config.Logger).Log("event", "shard_given_up", "shard", shard, "reason", reason)
}

// signalHeldChanged wakes watchBalancers after a change of held.
func (r *Runner) signalHeldChanged() {
	select {
	case r.heldChanged <- struct{}{}:
	default:
	}
}
