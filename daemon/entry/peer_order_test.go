package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/store"
)

// newEntryWithSeed returns an entry that isn't running.
func newEntryWithSeed(st store.Store, bound time.Duration, decode func(store.Record) (*routing.Table, error)) *Entry {
	s := coretest.Settings()
	s.Listen.Links, s.Seeds, s.Bounds.ConfigApply = "127.0.0.1:9", []string{"127.0.0.1:9"}, bound
	return New(s, st, operatorRecords, decode, core.DrainSource{Partition: operatorRecords, Decode: decodeOperatorDrain})
}

// A peer and the store bring two versions at the same moment. Guards against an entry that goes back
// to the older one because both were compared with the same earlier version.
func TestConcurrentVersionsLeaveTheNewestInForce(t *testing.T) {
	const versions = 200_000
	var readers sync.WaitGroup
	e := newEntryWithSeed(coretest.RejectingStore{}, time.Hour, func(r store.Record) (*routing.Table, error) {
		return &routing.Table{Version: int64(r.Value[0])<<16 | int64(r.Value[1])<<8 | int64(r.Value[2])}, nil
	})
	for first := range 2 {
		toldUntil := []time.Duration{0, 1 << 60}[first]
		readers.Go(func() {
			highest := int64(0)
			for v := int64(1 + first); v <= versions; v += 2 {
				e.applyConfig(store.Record{Key: "config", Value: []byte{byte(v >> 16), byte(v >> 8), byte(v)}}, toldUntil)
				now := version(e)
				if now < highest {
					t.Errorf("version %d after %d", now, highest)
					return
				}
				highest = now
			}
		})
	}
	readers.Wait()
}

// The store answers with a newer configuration after that of the peer has lapsed. Guards against the
// lapsed one coming back into force until the newer one is decoded.
func TestLapsedConfigurationStaysOutWhileTheStoreIsRead(t *testing.T) {
	is := is.New(t)
	st := &switchedStore{}
	e := newEntryWithSeed(st, time.Nanosecond, decodeOperatorConfig)
	answer, err := tells(5, 50, 0)(context.Background())
	is.NoErr(err)
	is.NoErr(e.applyToldConfig(answer.GetConfig(), 0))
	is.Equal(version(e), int64(0)) // lapsed
	st.switchOn(6)
	records, _, err := e.store.Newest(context.Background(), operatorRecords)
	is.NoErr(err)
	is.Equal(version(e), int64(0))
	e.applyStoredConfig(records[0])
	is.Equal(version(e), int64(6))
}

// The store holds an older version than the peer has told. Guards against an entry that goes back to
// it, and against one that lapses for good although it reads the store.
func TestOlderVersionInTheStoreAfterAPeers(t *testing.T) {
	is := is.New(t)
	e := newEntryWithSeed(coretest.RejectingStore{}, time.Nanosecond, decodeOperatorConfig)
	answer, err := tells(5, 50, 0)(context.Background())
	is.NoErr(err)
	is.NoErr(e.applyToldConfig(answer.GetConfig(), 0))
	e.applyStoredConfig(store.Record{Key: "config", Value: fmt.Append(nil, 4)})
	is.Equal(version(e), int64(5))
}

// Guards against an entry without seeds that keeps copies which nothing asks for.
func TestNoCopiesWithoutSeeds(t *testing.T) {
	is := is.New(t)
	st := &switchedStore{}
	st.switchOn(3)
	e := New(coretest.Settings(), st, operatorRecords, decodeOperatorConfig, core.DrainSource{Partition: operatorRecords, Decode: decodeOperatorDrain})
	_, _, err := e.store.Newest(context.Background(), operatorRecords)
	is.NoErr(err)
	is.Equal(e.copies.config.Position(), int64(0))
}

// The store was read long ago and has been silent since. Guards against a configuration that is sent
// again and again to agents, although nobody takes one of that age; and against parts that were not
// asked for.
func TestOnlyWhatHelpsIsPassedOn(t *testing.T) {
	is := is.New(t)
	var c copies
	records := []store.Record{{Key: "config", Value: []byte("5")}}
	c.config.Replace(time.Hour, records, 50)
	c.registry.Replace(time.Hour, records, 50)
	both := &corepb.SnapshotQuestion{Config: true, Registry: true}
	is.True(c.toWire(time.Hour+time.Second-1, time.Second, both).GetConfig() != nil)
	is.True(c.toWire(time.Hour+time.Second, time.Second, both).GetConfig() == nil)
	is.True(c.toWire(time.Hour, time.Second, &corepb.SnapshotQuestion{Config: true}).GetRegistry() == nil)
	is.True(c.toWire(time.Hour, time.Second, &corepb.SnapshotQuestion{Registry: true}).GetConfig() == nil)
}
