package directory

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/owner"
	"agateramp/internal/process/group"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is an agent whose events go to a channel as text.
type node struct {
	service *Service
	group   *group.Group
	member  *controlpb.Member
	events  chan string
}

func (n *node) HandleEvent(e owner.Event) {
	switch e := e.(type) {
	case owner.PeerConnected:
		n.events <- fmt.Sprintf("up %d", e.Peer.Port())
	case owner.PeerDisconnected:
		n.events <- fmt.Sprintf("down %d", e.Peer.Port())
	case owner.ReportReceived:
		n.events <- fmt.Sprintf("report %d from %d", e.Report.GetSequence(), e.Peer.Port())
	case owner.ReportAcked:
		n.events <- fmt.Sprintf("ack %d from %d", e.Sequence, e.Peer.Port())
	}
}

func start(t *testing.T, port int, control string) *node {
	t.Helper()
	n := &node{
		group: group.New(context.Background()), events: make(chan string, 64),
		member: &controlpb.Member{
			Host: fmt.Sprint(port), Address: fmt.Sprintf("127.0.0.1:%d", port), Weight: 1000, Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	var err error
	n.service, err = New(Config{Listen: control, Member: n.member, Handler: n, Group: n.group})
	is.New(t).NoErr(err)
	n.member.ControlAddress = n.service.ControlAddress()
	t.Cleanup(func() { n.stop(t) })
	return n
}

func (n *node) stop(t *testing.T) {
	n.group.Stop()
	is.New(t).NoErr(n.group.Wait())
}

func (n *node) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-n.events:
		is.New(t).Equal(got, want)
	case <-time.After(5 * time.Second):
		t.Fatalf("no event %q within 5 s", want)
	}
}

func spec(nodes ...*node) *controlpb.TableSpec {
	v := &controlpb.TableVersion{Version: 1}
	for _, n := range nodes {
		v.Members = append(v.Members, n.member)
	}
	return &controlpb.TableSpec{ServiceId: 7, Versions: []*controlpb.TableVersion{v}}
}

// TestStreams guards against two streams or none between two agents, reports
// that go to or come from an agent outside of the table, and a restart that the
// owner does not see.
func TestStreams(t *testing.T) {
	is := is.New(t)
	a, b := start(t, 101, "127.0.0.1:0"), start(t, 102, "127.0.0.1:0")
	first, second := netip.MustParseAddrPort("127.0.0.1:101"), netip.MustParseAddrPort("127.0.0.1:102")
	is.True(a.service.Report(second, &controlpb.FlowReport{Sequence: 1}) != nil)

	a.service.SetTable(spec(a, b)) // b does not know the table yet and cuts a off
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(b.events), 0)
	for len(a.events) > 0 {
		<-a.events
	}
	b.service.SetTable(spec(a, b))
	b.expect(t, "up 101")
	for got := ""; got != "up 102"; {
		select {
		case got = <-a.events:
		case <-time.After(5 * time.Second):
			t.Fatal("no stream at the dialling side")
		}
	}
	is.NoErr(a.service.Report(second, &controlpb.FlowReport{Sequence: 5}))
	b.expect(t, "report 5 from 101")
	is.NoErr(b.service.Ack(first, 5))
	a.expect(t, "ack 5 from 102")
	is.NoErr(b.service.Report(first, &controlpb.FlowReport{Sequence: 9}))
	a.expect(t, "report 9 from 102")

	control := b.member.GetControlAddress()
	b.stop(t)
	a.expect(t, "down 102")
	c := start(t, 102, control) // the same host restarted
	c.service.SetTable(spec(a, c))
	c.expect(t, "up 101")
	a.expect(t, "up 102")

	a.service.SetTable(spec(a))
	a.expect(t, "down 102")
	c.expect(t, "down 101")
	c.service.SetTable(spec(c))
	is.True(a.service.Report(second, &controlpb.FlowReport{Sequence: 6}) != nil)
}
