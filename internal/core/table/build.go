package table

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

const (
	// maxMembers bounds the members of a version. The addresses of 4 versions have
	// indices of 16 bits.
	maxMembers = 1 << 14
	// maxWeight is a thousand times the weight of a usual host, times the most
	// that learning multiplies it by. Larger weights would coarsen the scores.
	maxWeight = 8_000_000
)

// Build validates a spec and compiles it.
func Build(spec *controlpb.TableSpec) (t *Table, err error) {
	defer func() { err = errors.Wrapf(err, "build table of service %d", spec.GetServiceId()) }()
	if err := checkSpec(spec); err != nil {
		return nil, err
	}
	t = &Table{
		service:  spec.GetService(),
		id:       spec.GetServiceId(),
		config:   spec.GetConfigVersion(),
		newest:   spec.GetVersions()[0].GetVersion(),
		versions: make([]version, len(spec.GetVersions())),
	}
	s := newScratch(spec)
	for i, v := range spec.GetVersions() {
		if err := t.build(i, v, s); err != nil {
			return nil, errors.Wrapf(err, "version %d", v.GetVersion())
		}
	}
	t.compile(s)
	return t, nil
}

func checkSpec(spec *controlpb.TableSpec) error {
	if spec.GetServiceId() == 0 {
		return errors.New("the service id is 0")
	}
	if s := spec.GetService(); s != nil && s.GetId() != spec.GetServiceId() {
		return errors.Errorf("the service definition has id %d", s.GetId())
	}
	versions := spec.GetVersions()
	if len(versions) == 0 || len(versions) > flow.MaxPathLen {
		return errors.Errorf("%d versions, want 1 to %d", len(versions), flow.MaxPathLen)
	}
	newest := versions[0].GetVersion()
	if newest < uint64(len(versions)) {
		return errors.Errorf("newest version %d is too low for %d versions", newest, len(versions))
	}
	for i, v := range versions {
		if v.GetVersion() != newest-uint64(i) {
			return errors.Errorf("version %d at position %d, want %d", v.GetVersion(), i, newest-uint64(i))
		}
	}
	return nil
}

// scratch is the memory of one build. The draws depend on the host alone, so the
// versions of a spec share them.
type scratch struct {
	byHost        map[string]*[Buckets]uint64
	addresses     map[netip.AddrPort]uint16
	free          [][Buckets]uint64
	zones         []zoneBest
	first, second zoneBest
	choices       [Buckets]choices
}

func newScratch(spec *controlpb.TableSpec) *scratch {
	n := len(spec.GetVersions()[0].GetMembers()) + 1
	return &scratch{
		byHost:    make(map[string]*[Buckets]uint64, n),
		addresses: make(map[netip.AddrPort]uint16, n),
		free:      make([][Buckets]uint64, n),
		zones:     make([]zoneBest, 0, 4),
	}
}

// row returns the draws of a host.
func (s *scratch) row(host string, seed uint64) *[Buckets]uint64 {
	if row := s.byHost[host]; row != nil {
		return row
	}
	if len(s.free) == 0 {
		s.free = make([][Buckets]uint64, 8)
	}
	row := &s.free[0]
	s.free = s.free[1:]
	for b := range row {
		row[b] = draw(seed, b)
	}
	s.byHost[host] = row
	return row
}

// appendZone appends an empty zone.
func (s *scratch) appendZone(zones []zoneBest) []zoneBest {
	zones = append(zones, zoneBest{})
	zones[len(zones)-1].reset()
	return zones
}

// build places the buckets of one version.
func (t *Table) build(index int, in *controlpb.TableVersion, s *scratch) error {
	if len(in.GetMembers()) > maxMembers {
		return errors.Errorf("%d members, want at most %d", len(in.GetMembers()), maxMembers)
	}
	v := &t.versions[index]
	v.number = in.GetVersion()
	if err := v.readMembers(in.GetMembers()); err != nil {
		return err
	}
	v.selectEligible()
	n := len(v.members)
	v.seeds, v.inverses, v.addresses = make([]uint64, n), make([]uint64, n), make([]uint16, n)
	draws := make([]*[Buckets]uint64, n)
	for _, i := range v.eligible {
		m := &v.members[i]
		v.seeds[i], v.inverses[i] = seedOf(t.id, m.Host), inverseOf(m.Weight)
		draws[i] = s.row(m.Host, v.seeds[i])
	}
	for i := range v.members {
		m := &v.members[i]
		known, ok := s.addresses[m.Address]
		if !ok {
			known = uint16(len(t.addresses))
			s.addresses[m.Address] = known
			t.addresses = append(t.addresses, m.Address)
		}
		v.addresses[i] = known
	}
	v.place(s, draws)
	for b := range t.buckets {
		s.choices[b][index] = v.addressOf(s.first.host[b])
		t.seconds[b][index] = v.addressOf(s.second.host[b])
	}
	return nil
}

func (v *version) addressOf(member uint16) uint16 {
	if member == none {
		return none
	}
	return v.addresses[member]
}

func (v *version) readMembers(in []*controlpb.Member) error {
	v.members = make([]Member, len(in))
	v.byAddress = make(map[netip.AddrPort]uint16, len(in))
	names := make(map[string]struct{}, len(in))
	for i, p := range in {
		m, err := readMember(p)
		if err != nil {
			return errors.Wrapf(err, "member %d (%q)", i, p.GetHost())
		}
		if _, ok := names[m.Host]; ok {
			return errors.Errorf("host %q is listed twice", m.Host)
		}
		if _, ok := v.byAddress[m.Address]; ok {
			return errors.Errorf("address %s of host %q is listed twice", m.Address, m.Host)
		}
		names[m.Host] = struct{}{}
		v.byAddress[m.Address] = uint16(i)
		v.members[i] = m
	}
	return nil
}

func readMember(p *controlpb.Member) (m Member, err error) {
	if p.GetHost() == "" {
		return m, errors.New("the host name is empty")
	}
	if p.GetWeight() > maxWeight {
		return m, errors.Errorf("weight %d is above %d", p.GetWeight(), maxWeight)
	}
	address, err := parseAddress(p.GetAddress())
	if err != nil {
		return m, err
	}
	var control netip.AddrPort
	if p.GetControlAddress() != "" {
		if control, err = parseAddress(p.GetControlAddress()); err != nil {
			return m, err
		}
	}
	return Member{
		Host:           p.GetHost(),
		Address:        address,
		ControlAddress: control,
		DataCentre:     p.GetDataCentre(),
		Incarnation:    p.GetIncarnation(),
		Weight:         p.GetWeight(),
		Draining:       p.GetDraining(),
		Slots:          p.GetSlots(),
		Connections:    p.GetConnections(),
	}, nil
}

func parseAddress(s string) (address netip.AddrPort, err error) {
	if address, err = netip.ParseAddrPort(s); err != nil {
		return address, err
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// selectEligible lists the members that buckets are placed on: the active ones.
// When there are none, the flows that the others still hold must be found, so
// buckets are placed on those; their agents refuse new flows.
func (v *version) selectEligible() {
	for i := range v.members {
		if v.members[i].Active() {
			v.eligible = append(v.eligible, uint16(i))
		}
	}
	if len(v.eligible) > 0 {
		return
	}
	for i := range v.members {
		v.eligible = append(v.eligible, uint16(i))
	}
}

// zoneBest holds the best host of one data centre for every bucket.
type zoneBest struct {
	score [Buckets]uint64
	host  [Buckets]uint16
}

func (z *zoneBest) reset() {
	for b := range z.score {
		z.score[b], z.host[b] = ^uint64(0), none
	}
}

// place selects the first and second choice of every bucket, into scratch. The second choice
// is the best host of another data centre than the first, or the next best host
// when there is one data centre.
func (v *version) place(s *scratch, draws []*[Buckets]uint64) {
	numbers := make(map[string]int)
	zones := s.zones[:0]
	for _, i := range v.eligible {
		name := v.members[i].DataCentre
		number, ok := numbers[name]
		if !ok {
			number = len(zones)
			numbers[name] = number
			zones = s.appendZone(zones)
		}
		zone, row, inverse := &zones[number], draws[i], v.inverses[i]
		for b := range row {
			if sc := score(row[b], inverse); sc < zone.score[b] {
				zone.score[b], zone.host[b] = sc, i
			}
		}
	}
	if len(zones) == 1 {
		zones = s.appendZone(zones)
		v.nextBest(draws, &zones[0], &zones[1])
	}
	first, second := &s.first, &s.second
	first.reset()
	second.reset()
	for i := range zones {
		zone := &zones[i]
		for b, sc := range zone.score {
			if sc < first.score[b] {
				second.score[b], second.host[b] = first.score[b], first.host[b]
				first.score[b], first.host[b] = sc, zone.host[b]
				continue
			}
			if sc < second.score[b] {
				second.score[b], second.host[b] = sc, zone.host[b]
			}
		}
	}
	s.zones = zones
}

// nextBest sets next to the best hosts other than those in best.
func (v *version) nextBest(draws []*[Buckets]uint64, best, next *zoneBest) {
	for _, i := range v.eligible {
		row, inverse := draws[i], v.inverses[i]
		for b := range row {
			if s := score(row[b], inverse); s < next.score[b] && i != best.host[b] {
				next.score[b], next.host[b] = s, i
			}
		}
	}
}

// compile fills in the paths. At rest most buckets of a host have the same one.
func (t *Table) compile(s *scratch) {
	known := make(map[choices]uint16, len(t.versions[0].members))
	for b := range t.buckets {
		first := s.choices[b]
		index, ok := known[first]
		if !ok {
			index = uint16(len(t.choices))
			known[first] = index
			t.choices = append(t.choices, first)
		}
		t.buckets[b] = bucket{path: index, second: t.seconds[b][0]}
	}
	t.choices = slices.Clip(t.choices)
	t.compact = make([]uint64, len(t.addresses))
	for i, address := range t.addresses {
		t.compact[i] = compactOf(address)
	}
	t.paths = make([]path, len(t.choices))
	var h flow.Header
	for b := range t.buckets {
		t.SetPath(&h, uint64(b))
		t.paths[t.buckets[b].path] = path{hops: h.Path, count: h.PathLen}
	}
}
