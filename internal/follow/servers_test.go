package follow

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

// serversFixture holds a Servers view with a manual clock and its last list.
type serversFixture struct {
	now  time.Duration
	view *Servers
	list []Server
}

func newServersFixture() *serversFixture {
	r := &serversFixture{now: time.Hour}
	decode := func(_ string, value []byte) (Server, error) {
		var s Server
		err := json.Unmarshal(value, &s)
		return s, fault.Wrap(err, fault.Invalid, "test", "", "unreadable")
	}
	r.view = NewServers("s/", decode, func() time.Duration { return r.now }, telemetry.Discard(), func(l []Server) { r.list = l })
	return r
}

func (r *serversFixture) entry(s Server) kv.Entry {
	value, _ := json.Marshal(s)
	return kv.Entry{Key: "s/" + s.ID, Value: value}
}

func (r *serversFixture) put(s Server) { r.view.Apply([]kv.Event{{Entry: r.entry(s)}}) }

func (r *serversFixture) remove(id string) {
	r.view.Apply([]kv.Event{{Entry: kv.Entry{Key: "s/" + id}, Deleted: true}})
}

func (r *serversFixture) ready() []string {
	ids := []string{}
	for _, s := range r.list {
		if !s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// A list that was made earlier must not be passed on after a later one. The changes come
// from goroutines of requests and from the follower.
func TestServersArePassedOnInTheOrderOfTheirChanges(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a", Incarnation: 1})
	isSlow, marked := true, make(chan struct{})
	r.view.onChange = func(l []Server) {
		if isSlow {
			isSlow = false
			go func() {
				r.view.MarkLeaving("a", 1)
				close(marked)
			}()
			select {
			case <-marked: // the later list has overtaken this one
			case <-time.After(100 * time.Millisecond):
			}
		}
		r.list = l
	}
	r.put(Server{ID: "b"})
	<-marked
	require.Equal(t, []string{"b"}, r.ready(), "a has announced its shutdown")
}

// A registry that has not changed for longer than the lease time is not an
// outage: a server removed after that must be dropped immediately, without a
// grace period.
func TestServerRemovedWithoutOutageIsDroppedImmediately(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a"})
	for range 5 {
		r.now += 3 * time.Second
		r.view.expire()
	}
	r.remove("a")
	require.Empty(t, r.ready())
}

func TestServersLapsedInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a"})
	r.put(Server{ID: "b"})
	r.view.StoreRecovered(5 * time.Second)
	r.view.Replace(nil)
	require.Equal(t, []string{"a", "b"}, r.ready())
	r.put(Server{ID: "a"})
	r.now += reregistrationGrace
	r.view.expire()
	require.Equal(t, []string{"a"}, r.ready())
}

func TestLeavingServerStaysLeavingUntilANewIncarnation(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a", Incarnation: 7, Heartbeat: 1})
	r.put(Server{ID: "a", Incarnation: 7, Heartbeat: 2, Leaving: true})
	r.put(Server{ID: "a", Incarnation: 7, Heartbeat: 3})
	require.Empty(t, r.ready())
	r.remove("a")
	r.put(Server{ID: "a", Incarnation: 7, Heartbeat: 4})
	require.Empty(t, r.ready())
	r.put(Server{ID: "a", Incarnation: 8, Heartbeat: 1})
	require.Equal(t, []string{"a"}, r.ready(), "new incarnation")
}

func TestRemovedServerReturnsOnlyWithANewerHeartbeat(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a", Heartbeat: 5})
	r.remove("a")
	r.put(Server{ID: "a", Heartbeat: 5})
	require.Empty(t, r.ready(), "delayed write from before the removal")
	r.put(Server{ID: "a", Heartbeat: 6})
	require.Equal(t, []string{"a"}, r.ready(), "write from after the removal")
}

func TestDelayedWriteDoesNotOverwriteANewerOne(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a", Heartbeat: 5, Address: "new"})
	r.put(Server{ID: "a", Heartbeat: 4, Address: "old"})
	require.Equal(t, "new", r.list[0].Address)
}

func TestUnreadableEntryDropsOnlyItsOwnServer(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a"})
	r.put(Server{ID: "b"})
	r.view.Apply([]kv.Event{{Entry: kv.Entry{Key: "s/a", Value: []byte("{")}}, {Entry: kv.Entry{Key: "s/c", Value: []byte("?")}}})
	require.Equal(t, []string{"b"}, r.ready())
}

// Guards against the loss of servers whose entries a store has lost that came back from
// a copy: they are written again unchanged, perhaps after the grace period.
func TestServersLostInAStoreRestoreReturnUnchanged(t *testing.T) {
	r := newServersFixture()
	r.put(Server{ID: "a", Heartbeat: 5})
	r.put(Server{ID: "left", Heartbeat: 5})
	r.remove("left")
	r.view.StoreRestored()
	r.view.Replace([]kv.Entry{r.entry(Server{ID: "left", Heartbeat: 4})})
	require.Equal(t, []string{"a"}, r.ready())
	r.now += reregistrationGrace
	r.view.expire()
	require.Empty(t, r.ready())
	r.put(Server{ID: "left", Heartbeat: 5})
	r.put(Server{ID: "a", Heartbeat: 5})
	require.Equal(t, []string{"a"}, r.ready())
}
