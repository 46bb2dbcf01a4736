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

// testAgent is an agent that writes its events to a channel as text, with data addresses shortened
// to their ports.
type testAgent struct {
	service *Service
	group   *group.Group
	member  *controlpb.Member
	events  chan string
}

func (a *testAgent) HandleEvent(e owner.Event) {
	switch e := e.(type) {
	case owner.PeerConnected:
		a.events <- fmt.Sprintf("up %d", e.Peer.Port())
	case owner.PeerDisconnected:
		a.events <- fmt.Sprintf("down %d", e.Peer.Port())
	case owner.ReportReceived:
		a.events <- fmt.Sprintf("report %d from %d", e.Report.GetSequence(), e.Peer.Port())
	case owner.ReportAcked:
		a.events <- fmt.Sprintf("ack %d from %d", e.Sequence, e.Peer.Port())
	}
}

// startAgent starts an agent with a data port and the address on which it listens for streams.
func startAgent(t *testing.T, port int, listen string) *testAgent {
	t.Helper()
	a := &testAgent{
		group: group.New(context.Background()), events: make(chan string, 64),
		member: &controlpb.Member{
			Host: fmt.Sprint(port), Address: fmt.Sprintf("127.0.0.1:%d", port), Weight: 1000, Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	var err error
	a.service, err = New(Config{Listen: listen, Member: a.member, Handler: a, Group: a.group})
	is.New(t).NoErr(err)
	a.member.ControlAddress = a.service.ControlAddress()
	t.Cleanup(func() { a.stop(t) })
	return a
}

func (a *testAgent) stop(t *testing.T) {
	a.group.Stop()
	is.New(t).NoErr(a.group.Wait())
}

// expect waits for the next event and compares it.
func (a *testAgent) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-a.events:
		is.New(t).Equal(got, want)
	case <-time.After(5 * time.Second):
		t.Fatalf("no event %q within 5 s", want)
	}
}

// specWith returns a table spec of one version that lists agents.
func specWith(agents ...*testAgent) *controlpb.TableSpec {
	v := &controlpb.TableVersion{Version: 1}
	for _, a := range agents {
		v.Members = append(v.Members, a.member)
	}
	return &controlpb.TableSpec{ServiceId: 7, Versions: []*controlpb.TableVersion{v}}
}

// TestStreams guards against two streams or none between two agents, against reports to or from an
// agent that the table does not list, and against a restart of a peer that causes no event.
func TestStreams(t *testing.T) {
	is := is.New(t)
	a, b := startAgent(t, 101, "127.0.0.1:0"), startAgent(t, 102, "127.0.0.1:0")
	addressA, addressB := netip.MustParseAddrPort("127.0.0.1:101"), netip.MustParseAddrPort("127.0.0.1:102")
	is.True(a.service.Report(addressB, &controlpb.FlowReport{Sequence: 1}) != nil)

	a.service.SetTable(specWith(a, b)) // b does not have the table yet and closes the stream
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(b.events), 0)
	for len(a.events) > 0 {
		<-a.events
	}
	b.service.SetTable(specWith(a, b))
	b.expect(t, "up 101")
	for got := ""; got != "up 102"; {
		select {
		case got = <-a.events:
		case <-time.After(5 * time.Second):
			t.Fatal("no stream at the dialling side")
		}
	}
	is.NoErr(a.service.Report(addressB, &controlpb.FlowReport{Sequence: 5}))
	b.expect(t, "report 5 from 101")
	is.NoErr(b.service.Ack(addressA, 5))
	a.expect(t, "ack 5 from 102")
	is.NoErr(b.service.Report(addressA, &controlpb.FlowReport{Sequence: 9}))
	a.expect(t, "report 9 from 102")

	controlAddress := b.member.GetControlAddress()
	b.stop(t)
	a.expect(t, "down 102")
	c := startAgent(t, 102, controlAddress) // the same host after a restart
	c.service.SetTable(specWith(a, c))
	c.expect(t, "up 101")
	a.expect(t, "up 102")

	a.service.SetTable(specWith(a))
	a.expect(t, "down 102")
	c.expect(t, "down 101")
	c.service.SetTable(specWith(c))
	is.True(a.service.Report(addressB, &controlpb.FlowReport{Sequence: 6}) != nil)
}
