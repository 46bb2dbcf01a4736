// Package fabric is a stand-in for the platform's network fabric: it hands each
// packet of a caller to a randomly chosen balancer and carries answers back.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/process/group"
)

// Balancer is where a balancer takes packets.
type Balancer struct {
	Name string
	// Data is the Geneve address.
	Data netip.AddrPort
	// Services maps service addresses to the local addresses that the balancer
	// bound for them. Empty means that it takes no datagrams.
	Services map[netip.AddrPort]netip.AddrPort
}

// Faults says how packets from callers to balancers are disturbed.
type Faults struct {
	// Lost, Duplicated and Delayed are shares of packets in thousandths.
	Lost, Duplicated, Delayed int
	// MaxDelayMS bounds the delay, which also reorders packets. Empty means 50.
	MaxDelayMS int
}

const defaultMaxDelayMS = 50

// Config configures a Fabric.
type Config struct {
	// Seed makes the choices repeatable. Empty means seed 0.
	Seed uint64
	// Group runs the readers. It must be set.
	Group *group.Group
}

// Fabric sprays packets over balancers. Its methods are safe for concurrent use.
type Fabric struct {
	cfg       Config
	mu        sync.Mutex
	random    *rand.Rand
	balancers []Balancer
	faults    Faults
	sprayed   map[string]uint64
}

// New returns a fabric without balancers.
func New(cfg Config) (f *Fabric, err error) {
	if cfg.Group == nil {
		return nil, errors.New("fabric: group must be set")
	}
	return &Fabric{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), sprayed: make(map[string]uint64)}, nil
}

// Add adds a balancer or replaces the one of the same name.
func (f *Fabric) Add(b Balancer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(old Balancer) bool { return old.Name == b.Name })
	f.balancers = append(f.balancers, b)
}

// Remove removes a balancer; no packet is sent to it afterwards.
func (f *Fabric) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(b Balancer) bool { return b.Name == name })
}

// SetFaults changes how packets are disturbed from now on.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.MaxDelayMS == 0 {
		faults.MaxDelayMS = defaultMaxDelayMS
	}
	f.faults = faults
}

// Sprayed returns how many packets each balancer was sent, by name.
func (f *Fabric) Sprayed() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sprayed := make(map[string]uint64, len(f.sprayed))
	for name, n := range f.sprayed {
		sprayed[name] = n
	}
	return sprayed
}

// spray chooses a balancer for each copy of a packet and sends it with send. The
// address of a balancer is the one that target returns; balancers without one
// are not chosen. send must not keep data.
func (f *Fabric) spray(data []byte, target func(b *Balancer) netip.AddrPort, send func(to netip.AddrPort, data []byte)) {
	f.mu.Lock()
	if f.roll(f.faults.Lost) {
		f.mu.Unlock()
		return
	}
	copies := 1
	if f.roll(f.faults.Duplicated) {
		copies = 2
	}
	var to [2]netip.AddrPort
	var delays [2]time.Duration
	for i := range copies {
		to[i] = f.choose(target)
		if f.roll(f.faults.Delayed) {
			delays[i] = time.Duration(1+f.random.IntN(f.faults.MaxDelayMS)) * time.Millisecond
		}
	}
	f.mu.Unlock()
	for i := range copies {
		if !to[i].IsValid() {
			continue
		}
		if delays[i] == 0 {
			send(to[i], data)
			continue
		}
		late := slices.Clone(data)
		time.AfterFunc(delays[i], func() { send(to[i], late) })
	}
}

// choose is called with mu locked.
func (f *Fabric) choose(target func(b *Balancer) netip.AddrPort) netip.AddrPort {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}
	}
	first := f.random.IntN(len(f.balancers))
	for i := range f.balancers {
		b := &f.balancers[(first+i)%len(f.balancers)]
		if to := target(b); to.IsValid() {
			f.sprayed[b.Name]++
			return to
		}
	}
	return netip.AddrPort{}
}

// roll is called with mu locked.
func (f *Fabric) roll(thousandths int) bool {
	return thousandths > 0 && f.random.IntN(1000) < thousandths
}
