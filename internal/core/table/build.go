package table

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

const (
	// maxMembers is the largest number of members of a version, so that the addresses
	// of 4 versions can be indexed with 16 bits.
	maxMembers = 1 << 14
	// maxWeight is the largest effective weight in thousandths: 1,000 times that of a
	// usual host, times 8, the most that weight learning multiplies it by. Larger
	// weights would make the scores too coarse.
	maxWeight = 8_000_000
)

// Build validates a table spec and compiles it. The Table keeps a reference to the
// service definition in spec, which must not be changed afterwards.
func Build(spec *controlpb.TableSpec) (t *Table, err error) {
	defer func() { err = errors.Wrapf(err, "build table of service %d", spec.GetServiceId()) }()
	if err := checkSpec(spec); err != nil {
		return nil, err
	}
	t = &Table{
		service:       spec.GetService(),
		id:            spec.GetServiceId(),
		configVersion: spec.GetConfigVersion(),
		newestVersion: spec.GetVersions()[0].GetVersion(),
		versions:      make([]version, len(spec.GetVersions())),
	}
	s := newBuildState(spec)
	for i, v := range spec.GetVersions() {
		if err := t.buildVersion(i, v, s); err != nil {
			return nil, errors.Wrapf(err, "version %d", v.GetVersion())
		}
	}
	t.compilePaths(s)
	return t, nil
}

// checkSpec checks the ids and that the versions are consecutive, newest first. The
// members are checked by readMember.
func checkSpec(spec *controlpb.TableSpec) error {
	if spec.GetServiceId() == 0 {
		return errors.New("the service id is 0, want at least 1")
	}
	if s := spec.GetService(); s != nil && s.GetId() != spec.GetServiceId() {
		return errors.Errorf("the service definition has id %d, want that of the spec", s.GetId())
	}
	versions := spec.GetVersions()
	if len(versions) == 0 || len(versions) > flow.MaxPathLen {
		return errors.Errorf("%d versions, want 1 to %d", len(versions), flow.MaxPathLen)
	}
	newest := versions[0].GetVersion()
	if newest < uint64(len(versions)) {
		return errors.Errorf("newest version %d, want at least the number of versions, %d", newest, len(versions))
	}
	for i, v := range versions {
		if v.GetVersion() != newest-uint64(i) {
			return errors.Errorf("version %d at position %d, want %d", v.GetVersion(), i, newest-uint64(i))
		}
	}
	return nil
}

// buildState is the working memory of one build, which its versions share.
type buildState struct {
	// drawsByHost holds the draws of a host for all buckets. They depend on the host
	// alone, so they are computed once for all versions.
	drawsByHost map[string]*[Buckets]uint64
	// addressIndices holds the index of each data address in Table.addresses.
	addressIndices map[netip.AddrPort]uint16
	// freeRows is allocated memory for further entries of drawsByHost.
	freeRows [][Buckets]uint64
	// centres holds the best hosts of each data centre in the version that is built,
	// and best and secondBest its first and second choices.
	centres          []bestHosts
	best, secondBest bestHosts
	// firstChoices holds, by bucket, the first choices in each version.
	firstChoices [Buckets]addressIndices
}

// newBuildState returns the working memory for building the table of a spec.
func newBuildState(spec *controlpb.TableSpec) *buildState {
	n := len(spec.GetVersions()[0].GetMembers()) + 1
	return &buildState{
		drawsByHost:    make(map[string]*[Buckets]uint64, n),
		addressIndices: make(map[netip.AddrPort]uint16, n),
		freeRows:       make([][Buckets]uint64, n),
		centres:        make([]bestHosts, 0, 4),
	}
}

// draws returns the draws of a host for all buckets.
func (s *buildState) draws(host string, seed uint64) *[Buckets]uint64 {
	if row := s.drawsByHost[host]; row != nil {
		return row
	}
	if len(s.freeRows) == 0 {
		s.freeRows = make([][Buckets]uint64, 8)
	}
	row := &s.freeRows[0]
	s.freeRows = s.freeRows[1:]
	for b := range row {
		row[b] = draw(seed, b)
	}
	s.drawsByHost[host] = row
	return row
}

// appendCentre appends a data centre without hosts.
func (s *buildState) appendCentre(centres []bestHosts) []bestHosts {
	centres = append(centres, bestHosts{})
	centres[len(centres)-1].reset()
	return centres
}

// buildVersion reads the members of the version at index and selects the first and
// second choice of each bucket.
func (t *Table) buildVersion(index int, in *controlpb.TableVersion, s *buildState) error {
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
	v.seeds, v.inverseWeights, v.addressIndices = make([]uint64, n), make([]uint64, n), make([]uint16, n)
	draws := make([]*[Buckets]uint64, n)
	for _, i := range v.eligible {
		m := &v.members[i]
		v.seeds[i], v.inverseWeights[i] = seedOf(t.id, m.Host), inverseWeight(m.Weight)
		draws[i] = s.draws(m.Host, v.seeds[i])
	}
	for i := range v.members {
		m := &v.members[i]
		addressIndex, ok := s.addressIndices[m.Address]
		if !ok {
			addressIndex = uint16(len(t.addresses))
			s.addressIndices[m.Address] = addressIndex
			t.addresses = append(t.addresses, m.Address)
		}
		v.addressIndices[i] = addressIndex
	}
	v.selectChoices(s, draws)
	for b := range t.buckets {
		s.firstChoices[b][index] = v.addressIndex(s.best.member[b])
		t.secondChoices[b][index] = v.addressIndex(s.secondBest.member[b])
	}
	return nil
}

// addressIndex returns the index of the address of a member, or noIndex when the bucket
// has no choice and member is noIndex.
func (v *version) addressIndex(member uint16) uint16 {
	if member == noIndex {
		return noIndex
	}
	return v.addressIndices[member]
}

// readMembers reads the members of a version, whose names and data addresses must be
// unique.
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

// readMember validates and converts one member. Its control address may be empty.
func readMember(p *controlpb.Member) (m Member, err error) {
	if p.GetHost() == "" {
		return m, errors.New("the host name is empty")
	}
	if p.GetWeight() > maxWeight {
		return m, errors.Errorf("weight %d, want at most %d", p.GetWeight(), maxWeight)
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

// parseAddress parses an address and port. An IPv4-mapped IPv6 address becomes an IPv4
// address.
func parseAddress(s string) (address netip.AddrPort, err error) {
	if address, err = netip.ParseAddrPort(s); err != nil {
		return address, err
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// selectEligible lists the members that can be choices of a bucket: the active ones or,
// when none is active, all members, so that the flows that they still hold are found;
// their agents refuse new flows.
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

// bestHosts holds, by bucket, the lowest score and the index of the member that has it.
type bestHosts struct {
	score  [Buckets]uint64
	member [Buckets]uint16
}

// reset removes the members from all buckets.
func (h *bestHosts) reset() {
	for b := range h.score {
		h.score[b], h.member[b] = ^uint64(0), noIndex
	}
}

// selectChoices sets best and secondBest of s to the first and second choice of every
// bucket. The first choice has the lowest score. The second choice has the lowest score
// outside the data centre of the first choice, or the next lowest score if there is only
// one data centre.
func (v *version) selectChoices(s *buildState, draws []*[Buckets]uint64) {
	centreIndices := make(map[string]int)
	centres := s.centres[:0]
	for _, i := range v.eligible {
		name := v.members[i].DataCentre
		index, ok := centreIndices[name]
		if !ok {
			index = len(centres)
			centreIndices[name] = index
			centres = s.appendCentre(centres)
		}
		centre, row, inverse := &centres[index], draws[i], v.inverseWeights[i]
		for b := range row {
			if sc := score(row[b], inverse); sc < centre.score[b] {
				centre.score[b], centre.member[b] = sc, i
			}
		}
	}
	if len(centres) == 1 {
		centres = s.appendCentre(centres)
		v.selectNextBest(draws, &centres[0], &centres[1])
	}
	first, second := &s.best, &s.secondBest
	first.reset()
	second.reset()
	for i := range centres {
		centre := &centres[i]
		for b, sc := range centre.score {
			if sc < first.score[b] {
				second.score[b], second.member[b] = first.score[b], first.member[b]
				first.score[b], first.member[b] = sc, centre.member[b]
				continue
			}
			if sc < second.score[b] {
				second.score[b], second.member[b] = sc, centre.member[b]
			}
		}
	}
	s.centres = centres
}

// selectNextBest sets next to the members with the lowest scores other than those in
// best.
func (v *version) selectNextBest(draws []*[Buckets]uint64, best, next *bestHosts) {
	for _, i := range v.eligible {
		row, inverse := draws[i], v.inverseWeights[i]
		for b := range row {
			if s := score(row[b], inverse); s < next.score[b] && i != best.member[b] {
				next.score[b], next.member[b] = s, i
			}
		}
	}
}

// compilePaths sets the fields that SetPath and Route read. Buckets with the same first
// choices in all versions share a path. When the versions differ little, most of the
// buckets of a host share one.
func (t *Table) compilePaths(s *buildState) {
	pathIndices := make(map[addressIndices]uint16, len(t.versions[0].members))
	for b := range t.buckets {
		first := s.firstChoices[b]
		index, ok := pathIndices[first]
		if !ok {
			index = uint16(len(t.firstChoices))
			pathIndices[first] = index
			t.firstChoices = append(t.firstChoices, first)
		}
		t.buckets[b] = bucket{pathIndex: index, secondChoice: t.secondChoices[b][0]}
	}
	t.firstChoices = slices.Clip(t.firstChoices)
	t.packedAddresses = make([]uint64, len(t.addresses))
	for i, address := range t.addresses {
		t.packedAddresses[i] = packAddress(address)
	}
	t.paths = make([]path, len(t.firstChoices))
	var h flow.Header
	for b := range t.buckets {
		t.SetPath(&h, uint64(b))
		t.paths[t.buckets[b].pathIndex] = path{hops: h.Path, count: h.PathLen}
	}
}
