package table

import (
	"net/netip"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

const (
	// maxMembers bounds the members of a version; indices are 16 bits.
	maxMembers = 1<<16 - 1
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
		versions: make([]version, len(spec.GetVersions())),
	}
	rows := make(map[string]*[Buckets]uint64, len(spec.GetVersions()[0].GetMembers()))
	for i, v := range spec.GetVersions() {
		if err := t.versions[i].build(spec.GetServiceId(), v, rows); err != nil {
			return nil, errors.Wrapf(err, "version %d", v.GetVersion())
		}
	}
	t.compile()
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
	if len(versions) == 0 || len(versions) > flow.MaxPath {
		return errors.Errorf("%d versions, want 1 to %d", len(versions), flow.MaxPath)
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

// build places the buckets of one version. The rows of draws are shared between
// versions, since they depend on the host alone.
func (v *version) build(service uint32, in *controlpb.TableVersion, rows map[string]*[Buckets]uint64) error {
	if len(in.GetMembers()) > maxMembers {
		return errors.Errorf("%d members, want at most %d", len(in.GetMembers()), maxMembers)
	}
	v.number = in.GetVersion()
	if err := v.readMembers(in.GetMembers()); err != nil {
		return err
	}
	v.selectEligible()
	v.seeds = make([]uint64, len(v.members))
	v.inverses = make([]uint64, len(v.members))
	draws := make([]*[Buckets]uint64, len(v.members))
	for _, i := range v.eligible {
		m := &v.members[i]
		v.seeds[i], v.inverses[i] = seedOf(service, m.Host), inverseOf(m.Weight)
		row := rows[m.Host]
		if row == nil {
			row = new([Buckets]uint64)
			for b := range row {
				row[b] = draw(v.seeds[i], b)
			}
			rows[m.Host] = row
		}
		draws[i] = row
	}
	v.place(draws)
	return nil
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

// place selects the first and second choice of every bucket. The second choice
// is the best host of another data centre than the first, or the next best host
// when there is one data centre.
func (v *version) place(draws []*[Buckets]uint64) {
	v.first, v.second = new([Buckets]uint16), new([Buckets]uint16)
	var best [Buckets]uint64
	fill(&best, v.first)
	for _, i := range v.eligible {
		row, inverse := draws[i], v.inverses[i]
		for b := range row {
			if s := score(row[b], inverse); s < best[b] {
				best[b], v.first[b] = s, i
			}
		}
	}
	zones := v.zones()
	fill(&best, v.second)
	var firstZone [Buckets]uint16
	for b, i := range v.first {
		if i != none {
			firstZone[b] = zones[i]
		}
	}
	for _, i := range v.eligible {
		row, inverse, zone := draws[i], v.inverses[i], zones[i]
		for b := range row {
			if zone == firstZone[b] {
				continue
			}
			if s := score(row[b], inverse); s < best[b] {
				best[b], v.second[b] = s, i
			}
		}
	}
}

func fill(best *[Buckets]uint64, choice *[Buckets]uint16) {
	for b := range best {
		best[b], choice[b] = ^uint64(0), none
	}
}

// zones numbers the data centres of the eligible members. When all are in one
// data centre, each member counts as its own, so that the second choice is the
// next best host.
func (v *version) zones() []uint16 {
	zones := make([]uint16, len(v.members))
	numbers := make(map[string]uint16)
	for _, i := range v.eligible {
		name := v.members[i].DataCentre
		if _, ok := numbers[name]; !ok {
			numbers[name] = uint16(len(numbers))
		}
		zones[i] = numbers[name]
	}
	if len(numbers) > 1 {
		return zones
	}
	for _, i := range v.eligible {
		zones[i] = i
	}
	return zones
}

// compile fills in the routes. Equal paths share memory: at rest most buckets of
// a host have the same path.
func (t *Table) compile() {
	type path struct {
		hops [flow.MaxPath]flow.Hop
		n    int
	}
	t.routes = make([]Route, Buckets)
	shared := make(map[path][]flow.Hop)
	newest := &t.versions[0]
	var buffer [flow.MaxPath]flow.Hop
	for b := range t.routes {
		hops := t.AppendPath(buffer[:0], uint64(b), 0)
		p := path{n: len(hops)}
		copy(p.hops[:], hops)
		stored, ok := shared[p]
		if !ok {
			stored = append([]flow.Hop(nil), hops...)
			shared[p] = stored
		}
		t.routes[b].Hops = stored
		if second := newest.second[b]; second != none {
			t.routes[b].SecondChoice = newest.members[second].Address
		}
	}
}
