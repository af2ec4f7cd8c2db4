package sim

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// backends are a platform, its replicas and its stores, as the cores speak with them.
type backends struct {
	mu         sync.Mutex
	replicas   map[string]*backend // by name
	born       int                 // replicas that there ever were: no name is given twice
	loadTime   time.Duration
	orders     []ordered
	onLoad     func(o ordered) // called before the order is taken
	loading    map[string]int  // by pool: the most that were loading at once
	sources    map[string]*source
	onVersions func(core int, models map[string]uint64) // called when a core has a replica's answer, before it goes on
	onList     func(core int) error                     // called before a core is given the list
	onListed   func(core int)                           // called when it has it, before it goes on
	listed     map[int]int                              // how often each core asked for the list
}

// backend is one replica.
type backend struct {
	config.Replica
	fence  uint64
	until  time.Time // loading until then
	next   config.LoadOrder
	silent bool
	shown  map[string]uint64 // the versions that the platform's list has: it lags
	showAt time.Time
}

// ordered is an order that came to a replica.
type ordered struct {
	controlplane.Order
	core    int
	replica string
	at      time.Time
	taken   bool
}

// source keeps parts of prompts, and tells the news of one life.
type source struct {
	place     controlplane.CacheOffset
	kept      map[string]int
	before    controlplane.CacheOffset // the place before the last change, and what that changed
	changed   map[string]int
	news      chan struct{} // closed at the next change
	gone      bool
	readers   []int // cores that read now
	most      int
	readTimes map[int]int // by core
}

func newBackends() *backends {
	return &backends{listed: map[int]int{}, replicas: map[string]*backend{}, loadTime: 2 * time.Second, loading: map[string]int{}, sources: map[string]*source{}}
}

// add has replicas of a pool, all with version 1 of its models.
func (b *backends) add(pool string, count int, models ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range count {
		b.born++
		name := fmt.Sprintf("%s-%02d", pool, b.born)
		r := config.Replica{Name: name, Address: fmt.Sprintf("10.0.2.%d:80", b.born), Pool: pool, Zone: "zone-1", State: "present", Limit: 8, Models: map[string]uint64{}}
		for _, model := range models {
			r.Models[model] = 1
		}
		b.replicas[name] = &backend{Replica: r}
	}
}

// end takes in what has been loaded by now; b.mu is held.
func (r *backend) end() {
	if r.next.Version > 0 && !time.Now().Before(r.until) {
		r.Models[r.next.Model] = r.next.Version
		r.next = config.LoadOrder{}
		r.showAt = r.until.Add(listLag)
	}
	if !time.Now().Before(r.showAt) {
		r.shown = maps.Clone(r.Models)
	}
}

const listLag = 3 * time.Second

// has says whether all replicas but some have a version.
func (b *backends) has(model string, version uint64, but ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, r := range b.replicas {
		if r.end(); r.Models[model] != version && r.Models[model] != 0 && !slices.Contains(but, name) {
			return false
		}
	}
	return true
}

// change changes a replica.
func (b *backends) change(name string, do func(r *backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b.replicas[name])
}

// view is how one core speaks with them.
type view struct {
	*backends
	core int
}

func (v view) List(context.Context) ([]config.Replica, error) {
	v.mu.Lock()
	onList, onListed := v.onList, v.onListed
	v.listed[v.core]++
	v.mu.Unlock()
	if onList != nil {
		if err := onList(v.core); err != nil {
			return nil, err
		}
	}
	all := v.list()
	if onListed != nil {
		onListed(v.core)
	}
	return all, nil
}

func (v view) list() (all []config.Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(v.replicas)) {
		r := v.replicas[name]
		r.end()
		updates := r.Replica
		updates.Models = maps.Clone(r.shown)
		all = append(all, updates)
	}
	return all
}

// lists says how often a core has asked for the list.
func (b *backends) lists(core int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[core]
}

func (v view) Versions(ctx context.Context, r config.Replica) (map[string]uint64, bool, error) {
	v.mu.Lock()
	own := v.replicas[r.Name]
	silent := own == nil || own.silent
	v.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, false, ctx.Err()
	}
	v.mu.Lock()
	own.end()
	models, busy, onVersions := maps.Clone(own.Models), own.next.Version > 0, v.onVersions
	v.mu.Unlock()
	if onVersions != nil {
		onVersions(v.core, models)
	}
	return models, busy, nil
}

func (v view) Load(ctx context.Context, r config.Replica, o controlplane.Order) error {
	updates := ordered{Order: o, core: v.core, replica: r.Name, at: time.Now()}
	if v.onLoad != nil {
		v.onLoad(updates)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	own := v.replicas[r.Name]
	if own == nil || own.silent || ctx.Err() != nil {
		return errors.New("no answer")
	}
	own.end()
	updates.taken = own.next.Version == 0 && o.Fence >= own.fence
	v.orders = append(v.orders, updates)
	if !updates.taken {
		return errors.New("refused")
	}
	own.fence, own.next, own.until = o.Fence, o.LoadOrder, time.Now().Add(v.loadTime)
	now := 0
	for _, other := range v.replicas {
		if other.end(); other.Pool == own.Pool && other.next.Version > 0 {
			now++
		}
	}
	v.loading[own.Pool] = max(v.loading[own.Pool], now)
	return nil
}

func (v view) CachedBlocks(ctx context.Context, address string, from controlplane.CacheOffset, wait time.Duration) (controlplane.CacheUpdate, error) {
	v.mu.Lock()
	s := v.sources[address]
	if s == nil || s.gone {
		v.mu.Unlock()
		return controlplane.CacheUpdate{}, errors.New("gone")
	}
	s.readers = append(s.readers, v.core)
	s.readTimes[v.core]++
	s.most = max(s.most, len(s.readers))
	if changed := s.news; from == s.place {
		v.mu.Unlock()
		short, stop := context.WithTimeout(ctx, wait)
		select {
		case <-changed:
		case <-short.Done():
		}
		stop()
		v.mu.Lock()
	}
	defer v.mu.Unlock()
	s.readers = slices.Delete(s.readers, slices.Index(s.readers, v.core), slices.Index(s.readers, v.core)+1)
	if ctx.Err() != nil || s.gone {
		return controlplane.CacheUpdate{}, errors.New("gone meanwhile")
	}
	switch from {
	case s.place:
		return controlplane.CacheUpdate{Offset: s.place}, nil
	case s.before:
		return controlplane.CacheUpdate{Offset: s.place, Blocks: maps.Clone(s.changed)}, nil
	}
	return controlplane.CacheUpdate{Offset: s.place, Snapshot: true, Blocks: maps.Clone(s.kept)}, nil
}

// keep changes what a source keeps. In another epoch it has started anew.
func (b *backends) keep(address string, epoch uint64, remaining map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[address]
	if s == nil {
		s = &source{news: make(chan struct{}), readTimes: map[int]int{}}
		b.sources[address] = s
	}
	s.before, s.changed = s.place, map[string]int{}
	for part := range s.kept {
		s.changed[part] = 0
	}
	maps.Copy(s.changed, remaining)
	if s.place.Epoch != epoch {
		s.before = controlplane.CacheOffset{Next: 1 << 60} // a place that nobody has
	}
	s.kept, s.place = remaining, controlplane.CacheOffset{Epoch: epoch, Next: s.place.Next + 1}
	close(s.news)
	s.news = make(chan struct{})
}

// silence has a source fail from now on, or answer again.
func (b *backends) silence(address string, gone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[address]
	s.gone = gone
	close(s.news)
	s.news = make(chan struct{})
}

// options are of three cores with such back ends, and without proxies.
func (b *backends) options(seed uint64) FleetOptions {
	o := numberedOptions(seed, 3)
	o.Proxies = 0
	o.Backend = func(i int) controlplane.Backend { return view{b, i} }
	return o
}

// pools is a whole configuration of these pools.
func pools(number uint64, all ...config.Pool) config.NumberedConfig {
	d := numbered(number, number-1, true)
	delete(d.Items, "pool/web")
	for _, p := range all {
		d.Items.Apply(config.Field("pool/"+p.Name, p))
		d.Texts["pool/"+p.Name] = json.RawMessage(`{}`)
		d.Order = append(d.Order, "pool/"+p.Name)
	}
	return d
}

// follow gives a reader of what a core or an agent passes on, until the fleet ends.
func (f *Fleet) follow(ctx context.Context, address, path string) *watch.Client {
	follower := watch.NewClient(watch.ClientOptions{RPC: f.Wire, Address: address, Path: path, Wait: 100 * time.Millisecond,
		Request: func() watch.Request { return watch.Request{Name: "watcher at " + address, Role: "watcher"} }})
	go follower.Run(ctx)
	return follower
}

// reservations reads the open reservations of replicas that are to load.
func reservations(f *watch.Client) map[string]config.LoadOrder {
	all, _, _ := config.ParseLoads(f.Read(config.LoadsKey).Fields) // none that cannot be read
	maps.DeleteFunc(all, func(_ string, o config.LoadOrder) bool { return o.Done })
	return all
}

// keptAt reads what an agent passes on of a source, and whether the source answers.
func keptAt(f *watch.Client, source string) (remaining map[string]int, up bool) {
	remaining = map[string]int{}
	for field, raw := range f.Read(router.CachedPrefix + source).Fields {
		if register.IsDeleted(raw) {
			continue
		}
		if field == router.CacheUp {
			up = true
		} else if n := 0; json.Unmarshal(raw, &n) == nil {
			remaining[field] = n
		}
	}
	return remaining, up
}

// given lists the orders that came until now.
func (b *backends) given() []ordered {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// atOnce is the most of a pool that were loading at once.
func (b *backends) atOnce(pool string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loading[pool]
}

// byTime sorts orders.
func byTime(all []ordered) []ordered {
	return slices.SortedStableFunc(slices.Values(all), func(a, b ordered) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}
