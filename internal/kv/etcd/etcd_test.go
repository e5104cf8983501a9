package etcd_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"

	standin "buckthornpick/internal/standin/kv"
)

type rig struct {
	net    *memnet.Network
	server *standin.Server
	store  *etcd.Store
}

// run calls f in a bubble with a store served on host "kv".
func run(t *testing.T, f func(t *testing.T, r rig)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetLatency(time.Millisecond, time.Millisecond)
		server := standin.New(1)
		l, err := n.Host("kv", "z0").Listen("kv:1")
		require.NoError(t, err)
		httpServer := &http.Server{Handler: server}
		go httpServer.Serve(l)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); server.Run(ctx) }()
		client := netx.HTTPClient(n.Host("a", "z1"), netx.HTTPOptions{})
		store := etcd.New(etcd.Config{Endpoint: "http://kv:1"}, client, metrics.NewRegistry())
		f(t, rig{n, server, store})
		cancel()
		<-done
		httpServer.Close()
		client.CloseIdleConnections()
		time.Sleep(10 * time.Second) // delayed calls end
	})
}

func put(t *testing.T, s kv.Store, key, value string, lease kv.LeaseID) {
	t.Helper()
	res, err := s.Txn(t.Context(), nil, []kv.Op{kv.PutWithLease(key, []byte(value), lease)})
	require.NoError(t, err)
	require.True(t, res.Succeeded)
}

func TestTxnGuardsAndReads(t *testing.T) {
	run(t, func(t *testing.T, r rig) {
		ctx := t.Context()
		guard := []kv.Compare{{Key: "a", ModRevision: 0}}
		first, err := r.store.Txn(ctx, guard, []kv.Op{kv.Put("a", []byte("1")), kv.Put("b/x", []byte("2"))})
		require.NoError(t, err)
		require.True(t, first.Succeeded)
		again, err := r.store.Txn(ctx, guard, []kv.Op{kv.Delete("a")})
		require.NoError(t, err)
		require.False(t, again.Succeeded)
		entry, found, err := r.store.Get(ctx, "a")
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, kv.Entry{Key: "a", Value: []byte("1"), ModRevision: first.Revision, CreateRevision: first.Revision}, entry)
		snap, err := r.store.List(ctx, "b/")
		require.NoError(t, err)
		require.Len(t, snap.Entries, 1)
		require.Equal(t, "b/x", snap.Entries[0].Key)
		_, err = r.store.Txn(ctx, nil, []kv.Op{kv.Put("big", make([]byte, standin.MaxValueBytes+1))})
		require.True(t, fault.Is(err, fault.Invalid), "%v", err)
	})
}

func TestLeaseLapsesAndWatchSeesIt(t *testing.T) {
	run(t, func(t *testing.T, r rig) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lease, err := r.store.Grant(ctx, 3*time.Second)
		require.NoError(t, err)
		put(t, r.store, "m/a", "1", lease)
		batches, err := r.store.Watch(ctx, "m/", 0)
		require.NoError(t, err)
		require.False(t, (<-batches).Events[0].Deleted)
		time.Sleep(2 * time.Second)
		require.NoError(t, r.store.KeepAlive(ctx, lease))
		time.Sleep(2 * time.Second)
		_, found, err := r.store.Get(ctx, "m/a")
		require.NoError(t, err)
		require.True(t, found)
		require.True(t, (<-batches).Events[0].Deleted)
		err = r.store.KeepAlive(ctx, lease)
		require.True(t, fault.Is(err, fault.Conflict), "%v", err)
		require.NoError(t, r.store.Revoke(ctx, lease))
	})
}

func TestWatchEndsOnOutageAndCompaction(t *testing.T) {
	run(t, func(t *testing.T, r rig) {
		put(t, r.store, "a", "1", 0)
		r.server.Compact()
		batches, err := r.store.Watch(t.Context(), "a", 0)
		require.NoError(t, err)
		require.True(t, (<-batches).Compacted)
		_, open := <-batches
		require.False(t, open)
		entry, _, err := r.store.Get(t.Context(), "a")
		require.NoError(t, err)
		batches, err = r.store.Watch(t.Context(), "a", entry.ModRevision)
		require.NoError(t, err)
		r.server.Faults.SetOutage(true)
		_, open = <-batches
		require.False(t, open)
	})
}

func TestErrorsByWhatMayHaveHappened(t *testing.T) {
	cases := map[string]struct {
		fault         func(r rig)
		read, written *errorx.Type
	}{
		"outage":    {func(r rig) { r.server.Faults.SetOutage(true) }, fault.Unavailable, fault.Unavailable},
		"cut":       {func(r rig) { r.net.PartitionHost("kv") }, fault.Unavailable, fault.Unavailable},
		"killed":    {func(r rig) { r.net.KillHost("kv") }, fault.Unavailable, fault.Unavailable},
		"slow":      {func(r rig) { r.server.Faults.SetDelay(5 * time.Second) }, fault.Unavailable, fault.Ambiguous},
		"lost":      {func(r rig) { r.server.Faults.LoseNextWriteAnswers(1) }, nil, fault.Ambiguous},
		"rate":      {func(r rig) { r.server.Faults.LimitRates(0.1, 0.1); exhaust(r) }, fault.Unavailable, fault.Unavailable},
		"untouched": {func(rig) {}, nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r rig) {
				c.fault(r)
				_, _, err := r.store.Get(t.Context(), "a")
				requireType(t, err, c.read)
				_, err = r.store.Txn(t.Context(), nil, []kv.Op{kv.Put("a", nil)})
				requireType(t, err, c.written)
			})
		})
	}
}

func exhaust(r rig) {
	_, _, _ = r.store.Get(context.Background(), "x")
	_, _ = r.store.Txn(context.Background(), nil, []kv.Op{kv.Put("x", nil)})
}

func requireType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	if want == nil {
		require.NoError(t, err)
		return
	}
	require.True(t, fault.Is(err, want), "want %s, got %v", want, err)
}

func TestTxnOnceResolvesLostAnswers(t *testing.T) {
	once := func(t *testing.T, r rig) (kv.TxnResult, kv.Marker, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		return kv.TxnOnce(ctx, r.store, nil, []kv.Op{kv.Put("x", []byte("1"))}, kv.Marker{Key: "mark"}, "op1")
	}
	exists := func(t *testing.T, r rig) bool {
		_, found, err := r.store.Get(t.Context(), "x")
		require.NoError(t, err)
		return found
	}
	t.Run("answer lost after effect", func(t *testing.T) {
		run(t, func(t *testing.T, r rig) {
			r.server.Faults.LoseNextWriteAnswers(2)
			res, marker, err := once(t, r)
			require.NoError(t, err)
			require.True(t, res.Succeeded)
			require.True(t, exists(t, r))
			res, _, err = kv.TxnOnce(t.Context(), r.store, nil, []kv.Op{kv.Delete("x")}, marker, "op2")
			require.NoError(t, err)
			require.True(t, res.Succeeded)
		})
	})
	t.Run("write arrives after the resolution", func(t *testing.T) {
		run(t, func(t *testing.T, r rig) {
			r.server.Faults.DelayNextWrites(1, 6*time.Second)
			_, marker, err := once(t, r)
			require.True(t, fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Ambiguous), "%v", err)
			require.False(t, exists(t, r))
			time.Sleep(10 * time.Second)
			require.False(t, exists(t, r), "the late write took effect")
			res, _, err := kv.TxnOnce(t.Context(), r.store, nil, []kv.Op{kv.Put("x", nil)}, marker, "op2")
			require.NoError(t, err)
			require.True(t, res.Succeeded)
		})
	})
	t.Run("write and void both delayed", func(t *testing.T) {
		run(t, func(t *testing.T, r rig) {
			r.server.Faults.DelayNextWrites(2, 4*time.Second)
			res, _, err := once(t, r)
			if err == nil {
				require.True(t, res.Succeeded)
			}
			before := exists(t, r)
			require.Equal(t, err == nil, before)
			time.Sleep(10 * time.Second)
			require.Equal(t, before, exists(t, r))
		})
	})
	t.Run("store stays away", func(t *testing.T) {
		run(t, func(t *testing.T, r rig) {
			r.server.Faults.DelayNextWrites(1, 4*time.Second)
			outage := time.AfterFunc(time.Second, func() { r.server.Faults.SetOutage(true) })
			defer outage.Stop()
			_, _, err := once(t, r)
			require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)
		})
	})
}
