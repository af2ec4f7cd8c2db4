package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"time"

	"asterridge/prefixindex"
	"asterridge/rpc"
)

// figure is one measured thing; low and high are its least and most in the parts of the time that it was measured for.
type figure struct {
	name, unit       string
	value, low, high float64
	drawn            bool
}

// row is all that was measured at one size.
type row struct {
	size    float64
	figures []figure
}

// series is one slope: what grows, and the rows.
type series struct {
	name, grows, rest string // rest: what stood still
	rows              []row
}

// measurement is one slope's way of measuring.
type measurement struct {
	name, grows, rest string
	sizes             []int
	measure           func(ctx context.Context, o options, size int) ([]figure, error)
}

var measurements = []measurement{
	{"daemons", "daemons", "18 replicas, 8 tenants, 8 models", []int{12, 50, 150, 250}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: n, replicas: 18, tenants: 8, models: 8}, true)
	}},
	{"replicas", "replicas", "12 daemons, 8 tenants, 8 models", []int{18, 100, 300, 920}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: 12, replicas: n, tenants: 8, models: 8}, true)
	}},
	{"tenants", "tenants", "12 daemons, 18 replicas, 8 models", []int{8, 30, 90, 240}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: 12, replicas: 18, tenants: n, models: 8}, true)
	}},
	{"whole", "daemons", "920 replicas, 240 tenants, 8 models", []int{100}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: n, replicas: 920, tenants: 240, models: 8}, true)
	}},
	{"polls", "replicas", "2 daemons, 8 tenants, 8 models, replicas that are asked for reports", []int{18, 100, 300, 920}, func(ctx context.Context, o options, n int) ([]figure, error) {
		o.platform = false
		return o.fleet(ctx, size{daemons: 2, replicas: n, tenants: 8, models: 8, polled: true}, false)
	}},
	{"blocks", "kept blocks", "2 daemons, 18 replicas, no events", []int{10000, 30000, 100000, 300000}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: 2, replicas: 18, tenants: 8, models: 8, blocks: n, index: 2 * n}, false)
	}},
	{"events", "events/s", "4 daemons, 18 replicas, 10000 kept blocks", []int{200, 600, 2000, 6000}, func(ctx context.Context, o options, n int) ([]figure, error) {
		return o.fleet(ctx, size{daemons: 4, replicas: 18, tenants: 8, models: 8, blocks: 10000, index: 100000, events: float64(n)}, false)
	}},
	{"claims", "claims at a time", "4 cores, one disk for all", []int{8, 32, 128, 512}, func(ctx context.Context, o options, n int) ([]figure, error) { return o.claims(ctx, n) }},
	{"index", "index entries", "18 replicas, prompts of 16 blocks", []int{100000, 300000, 1000000, 3000000, 10000000}, func(_ context.Context, _ options, n int) ([]figure, error) { return measureIndex(n), nil }},
}

func find(name string) (measurement, error) {
	for _, m := range measurements {
		if m.name == name {
			return m, nil
		}
	}
	return measurement{}, fmt.Errorf("-measure: there is no %q; see -h", name)
}

// joinStep is how many daemons' news of having joined pass round the ring in the time that a fleet is left alone; more take longer.
const joinStep = 40

// windows is into how many parts the measured time is cut, for the spread.
const windows = 3

// fleet measures a hollow fleet of one size that is left to itself, and then, if that is wanted, changes and a core's restart.
func (o options) fleet(ctx context.Context, s size, stirred bool) ([]figure, error) {
	s.platform = o.platform
	began := time.Now()
	f, err := o.startFleet(ctx, s)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	joined := time.Since(began)
	if err := rpc.Sleep(ctx, o.settle*time.Duration(joinStep+s.daemons)/joinStep); err != nil {
		return nil, err
	}
	states, err := o.watch(ctx, f)
	if err != nil {
		return nil, err
	}
	figures := []figure{one("all daemons current after the start", "ms", ms(joined))}
	figures = append(figures, processors(states, s)...)
	figures = append(figures, agentTraffic(states, s)...)
	figures = append(figures, coreTraffic(states)...)
	calm, err := f.look("collect")
	if err != nil {
		return nil, err
	}
	figures = append(figures, memory(calm, states[len(states)-1], s)...)
	if stirred {
		more, err := o.stir(ctx, f)
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

// watch looks at all processes at the beginning and at the end of each window.
func (o options) watch(ctx context.Context, f *fleet) (states []state, err error) {
	for i := range windows + 1 {
		if i > 0 {
			if err := rpc.Sleep(ctx, o.length/windows); err != nil {
				return nil, err
			}
		}
		now, err := f.look("sample")
		if err != nil {
			return nil, err
		}
		states = append(states, now)
	}
	return states, nil
}

// processors is what each role took of the processor.
func processors(states []state, s size) []figure {
	n := float64(s.daemons)
	return []figure{
		spread("a core's processor", "cores", true, states, func(b, now state) float64 { return processor(b.cores, now.cores) / coreCount }),
		spread("an agent's processor", "cores", true, states, func(b, now state) float64 { return processor(b.agents, now.agents) / n }),
		spread("a proxy's processor", "cores", false, states, func(b, now state) float64 { return processor(b.proxies, now.proxies) / n }),
	}
}

// trafficBetween adds up what went over some paths between two samples; without paths, over all.
func trafficBetween(before, now sample, paths ...string) (t traffic) {
	for path, sum := range now.Traffic {
		if len(paths) == 0 || slices.Contains(paths, path) {
			t.add(sum.minus(before.Traffic[path]))
		}
	}
	return t
}

func messages(t traffic) float64 { return float64(t.Messages) }

// agentTraffic is what one agent exchanges a second.
func agentTraffic(states []state, s size) (figures []figure) {
	rate := func(name, unit string, plotted bool, of func(t traffic) float64, paths ...string) {
		figures = append(figures, spread(name, unit, plotted, states, func(b, now state) float64 {
			return of(trafficBetween(b.agents, now.agents, paths...)) / float64(s.daemons) / now.agents.At.Sub(b.agents.At).Seconds()
		}))
	}
	rate("an agent's asks to cores", "1/s", false, messages, "/core/pull")
	rate("an agent's asks to cores, all", "B/s", true, traffic.bytes, "/core/pull")
	rate("of these heads", "B/s", false, func(t traffic) float64 { return float64(t.HeadOut + t.HeadIn) }, "/core/pull")
	rate("of these status upwards", "B/s", false, func(t traffic) float64 { return float64(t.BodyOut) }, "/core/pull")
	rate("of these answers' bodies", "B/s", false, func(t traffic) float64 { return float64(t.BodyIn) }, "/core/pull")
	rate("an agent's ring, sent by it", "1/s", false, messages, "/ring/beat", "/ring/doubt")
	rate("an agent's ring, sent by it and answered", "B/s", true, traffic.bytes, "/ring/beat", "/ring/doubt")
	if s.polled {
		rate("an agent's asks for reports", "1/s", true, messages, "/report")
	}
	return figures
}

// coreTraffic is what one core asks of others a second.
func coreTraffic(states []state) []figure {
	rate := func(name, unit string, of func(t traffic) float64) figure {
		return spread(name, unit, false, states, func(b, now state) float64 {
			return of(trafficBetween(b.cores, now.cores)) / coreCount / now.cores.At.Sub(b.cores.At).Seconds()
		})
	}
	return []figure{rate("a core's own asks", "1/s", messages), rate("a core's own asks, all", "B/s", traffic.bytes)}
}

// memory is what is in use when garbage is collected, and what else the processes hold at the end.
func memory(calm, last state, s size) (figures []figure) {
	n := float64(s.daemons)
	add := func(name, unit string, plotted bool, value float64) {
		f := one(name, unit, value)
		f.drawn = plotted
		figures = append(figures, f)
	}
	add("a core's heap and stacks", "kB", true, used(calm.cores)/coreCount)
	add("an agent's heap and stacks", "kB", true, used(calm.agents)/n)
	add("a proxy's heap and stacks", "kB", true, used(calm.proxies)/n)
	add("a core's descriptors", "", true, float64(last.cores.Descriptors)/coreCount)
	add("an agent's descriptors", "", false, float64(last.agents.Descriptors)/n)
	add("a core's disk", "kB", false, float64(last.cores.FileBytes)/coreCount/1000)
	add("agents current", "", false, float64(last.agents.Current))
	add("proxies current", "", false, float64(last.proxies.Current))
	add("times that an agent ceased to be", "", false, float64(last.agents.Lost))
	add("times that a proxy ceased to be", "", false, float64(last.proxies.Lost))
	add("resident, all hollow processes", "MB", false, float64(last.cores.Resident+last.agents.Resident+last.proxies.Resident)/1e6)
	return figures
}

// stir changes the configuration some times, and starts a core anew.
func (o options) stir(ctx context.Context, f *fleet) (figures []figure, err error) {
	var accepted, everywhere []float64
	for range windows {
		yes, all, err := f.changeTime(ctx)
		if err != nil {
			return nil, err
		}
		accepted, everywhere = append(accepted, ms(yes)), append(everywhere, ms(all))
	}
	figures = append(figures, among("a change accepted after", "ms", false, accepted), among("a change in force at the last proxy after", "ms", true, everywhere))
	before, err := f.look("sample")
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if _, err := f.cores.do(order{Do: "restart", Core: 1}); err != nil {
		return nil, err
	}
	var now state
	err = eventually(ctx, "each agent has an image of the core that was started again", func() bool {
		now, err = f.look("sample")
		return err == nil && now.agents.Traffic["/core/pull"].Snapshots-before.agents.Traffic["/core/pull"].Snapshots >= f.size.daemons
	})
	if err != nil {
		return nil, err
	}
	t := now.agents.Traffic["/core/pull"].minus(before.agents.Traffic["/core/pull"])
	figures = append(figures, one("a core's restart: last agent has the image after", "ms", ms(t.Last.Sub(began))),
		one("a core's restart: answers' bodies to an agent meanwhile", "kB", float64(t.BodyIn)/float64(f.size.daemons)/1000),
		one("a core's restart: processor seconds of all cores", "s", now.cores.Processor-before.cores.Processor),
		one("a core's restart: times that a daemon was not current", "", float64(now.agents.Lost+now.proxies.Lost-before.agents.Lost-before.proxies.Lost)))
	figures[len(figures)-4].drawn = true
	return figures, nil
}

func (o options) claims(ctx context.Context, at int) ([]figure, error) {
	f, err := o.startFleet(ctx, size{daemons: 1, replicas: 18, tenants: 8, models: 8, platform: o.platform})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	var taken, means, processors, files []float64
	for range windows {
		before, err := f.cores.do(order{Do: "sample"})
		if err != nil {
			return nil, err
		}
		perSecond, mean, err := f.claims(ctx, at, o.length/windows)
		if err != nil {
			return nil, err
		}
		now, err := f.cores.do(order{Do: "sample"})
		if err != nil {
			return nil, err
		}
		count := perSecond * now.At.Sub(before.At).Seconds()
		taken, means = append(taken, perSecond), append(means, ms(mean))
		processors = append(processors, (now.Processor-before.Processor)*1000/count)
		files = append(files, float64(now.FileBytes-before.FileBytes)/count/coreCount)
	}
	plotted := among("claims taken", "1/s", true, taken)
	return []figure{plotted, among("a claim takes", "ms", true, means), among("processor of all cores for a claim", "ms", false, processors),
		among("more on a core's disk for a claim", "B", false, files)}, nil
}

// index measures the index of kept prompts by itself.
func measureIndex(entries int) []figure {
	const chain, sources = 16, 18
	before := heap()
	x := prefixindex.NewIndex(entries)
	key := func(n int) string { return "common@1/" + strconv.FormatUint(uint64(n)*0x9e3779b97f4a7c15, 16) }
	began := time.Now()
	for n := range entries {
		x.Update(replicaName(n/chain%sources), key(n), 512)
	}
	filled := time.Since(began)
	held := heap() - before
	const looked = 20000
	began = time.Now()
	for i := range looked {
		first := int(uint64(i)*2654435761%uint64(entries)) / chain * chain
		blocks := make([]prefixindex.Block, chain)
		for j := range blocks {
			blocks[j] = prefixindex.Block{Key: key(first + j), Size: 512}
		}
		x.Cached(blocks)
	}
	lookups := time.Since(began)
	began = time.Now()
	for i := range looked {
		x.Update(replicaName(0), key(entries+i), 512)
	}
	renewed := time.Since(began)
	runtime.KeepAlive(x)
	return []figure{
		{"heap of the index", "MB", held / 1e6, held / 1e6, held / 1e6, true}, one("heap of an entry", "B", held/float64(entries)),
		one("an entry noted while it fills", "us", filled.Seconds()*1e6/float64(entries)), one("an entry noted when it is full", "us", renewed.Seconds()*1e6/looked),
		{"a prompt of 16 blocks looked up", "us", lookups.Seconds() * 1e6 / looked, lookups.Seconds() * 1e6 / looked, lookups.Seconds() * 1e6 / looked, true},
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func used(s sample) float64 { return float64(s.Heap+s.Stack) / 1000 }

func processor(before, now sample) float64 {
	return (now.Processor - before.Processor) / now.At.Sub(before.At).Seconds()
}

func one(name, unit string, value float64) figure {
	return figure{name, unit, value, value, value, false}
}

// among is the mean of some samples with their least and most.
func among(name, unit string, plotted bool, samples []float64) figure {
	sum := 0.0
	for _, v := range samples {
		sum += v
	}
	return figure{name, unit, sum / float64(len(samples)), slices.Min(samples), slices.Max(samples), plotted}
}

// spread is a rate over the whole time, with its least and most among the windows.
func spread(name, unit string, plotted bool, states []state, of func(before, now state) float64) figure {
	var samples []float64
	for i := range states[1:] {
		samples = append(samples, of(states[i], states[i+1]))
	}
	f := among(name, unit, plotted, samples)
	f.value = of(states[0], states[len(states)-1])
	return f
}
