package router

import (
	"sync"
	"time"

	"asterridge/backlog"
	"asterridge/prompt"
	"asterridge/register"
)

// credit is one slot of one replica.
type credit struct {
	replica *replica
	weights string
	source  string // address of a peer or store that the replica should fetch the prefix from; "" to read it anew
}

const (
	reportAge   = 1500 * time.Millisecond
	borrowMost  = 0.75 // of a replica's slots may be taken by its report, beyond one's own share
	borrowStep  = 0.01
	defaultRate = 4.0 // bytes of prompt per ms, until a replica tells
	loadWeight  = 40.0
	fetchDelay  = 5.0   // ms before the first byte of a fetched prefix
	fetchTry    = 200.0 // bytes per ms expected of a source that was not tried yet
	oldCost     = 400.0 // ms: a replica on old weights, which will be told to load at any moment, or one that has refused the tenant
	newestWarm  = 3 * time.Second
	coolStep    = 50 * time.Millisecond
	coolMost    = 2 * time.Second
)

// mayServe says whether a replica may start work for the pool now (§6.1).
func (r *Router) mayServe(p *pool, rep *replica, now time.Time) (weights string, isFit bool) {
	if rep.State == "leaving" {
		return "", false
	}
	said := rep.report.Load()
	if said == nil || now.Sub(said.at) > reportAge || !p.allows(said.Weights, now) {
		return "", false
	}
	if rep.State == "warming" && !said.IsWarm {
		return "", false
	}
	return said.Weights, true
}

// draw takes a credit for a waiting request: the replica with the least estimated cost among those with room.
func (r *Router) draw(item *backlog.Item) (credit, bool) {
	x := item.Body.(*Exchange)
	v := r.view.Load()
	p := v.pools[x.Path.Pool]
	if p == nil {
		return credit{}, false
	}
	now := time.Now()
	var best credit
	var least float64
	chains := map[string]map[string]int{}
	for _, rep := range p.replicas {
		weights, isFit := r.mayServe(p, rep, now)
		if !isFit || !r.hasRoom(rep) || now.Before(*rep.coolUntil.Load()) {
			continue
		}
		domain := prompt.Domain(x.Tenant.Name, x.Tenant.Born, x.Tenant.IsWalled, weights)
		kept, isKnown := chains[domain]
		if !isKnown && p.Kind == "model" {
			kept = r.index.Kept(x.chain(domain))
			chains[domain] = kept
		}
		work, source := r.work(x, v, p, rep, kept)
		cost := r.cost(rep, work)
		if weights != p.Weights {
			cost += oldCost
		}
		if r.signals.HasRefused(rep.index, x.Tenant.index) {
			cost += oldCost // another replica's answer tells more
		}
		if cost < least || best.replica == nil ||
			cost == least && register.Weight(x.anchor(domain), rep.Name) > register.Weight(x.anchor(domain), best.replica.Name) {
			best, least = credit{rep, weights, source}, cost
		}
	}
	if best.replica == nil {
		return credit{}, false
	}
	best.replica.running.Add(1)
	best.replica.sent.Add(1)
	return best, true
}

// work estimates the milliseconds until the replica has the whole prompt: what it lacks is read anew, or fetched from a peer or store
// that is thought to keep more of it, if that was measured to be quicker (§6.1).
func (r *Router) work(x *Exchange, v *View, p *pool, rep *replica, kept map[string]int) (ms float64, source string) {
	said, has := rep.report.Load(), kept[rep.Name]
	size := len(x.Prompt.Text)
	ms = float64(size-prompt.Covered(has)) / said.rate()
	consider := func(other *replica) {
		theirs := kept[other.Name]
		more := prompt.Covered(theirs) - prompt.Covered(has)
		if other.Name == rep.Name || more <= 0 || other.State == "leaving" {
			return
		}
		rate, isTried := said.Fetch[other.Name]
		if !isTried {
			rate = fetchTry
		}
		fetched := fetchDelay + float64(more)/max(rate, 0.01) + float64(size-prompt.Covered(theirs))/said.rate()
		if fetched < ms {
			ms, source = fetched, other.Address
		}
	}
	for _, other := range p.replicas {
		consider(other)
	}
	for _, other := range v.stores {
		consider(other)
	}
	return ms, source
}

// cost adds the replica's load and warm-up to the work.
func (r *Router) cost(rep *replica, work float64) float64 {
	said := rep.report.Load()
	busy := float64(said.Running) + float64(rep.sent.Load())
	cost := work + loadWeight*busy*busy/float64(max(1, rep.Limit))/float64(max(1, rep.Limit))
	if !said.IsWarm {
		cost += float64(newestWarm.Milliseconds())
	}
	return cost
}

// rate is how fast the replica reads a prompt anew, in bytes per ms.
func (said *report) rate() float64 {
	if said.Rate <= 0 {
		return defaultRate
	}
	return said.Rate
}

// cool leaves a replica alone for a while that refuses everyone, or fails; longer each time until it serves again.
func (r *Router) cool(rep *replica) {
	pause := min(coolStep<<min(rep.bad.Add(1)-1, 6), coolMost)
	until := time.Now().Add(pause)
	rep.coolUntil.Store(&until)
	time.AfterFunc(pause+time.Millisecond, r.backlog.WakeAll)
}

// hasRoom looks at this proxy's share, and beyond it at what the replica's report leaves free (§5.3).
func (r *Router) hasRoom(rep *replica) bool {
	own := int(rep.running.Load())
	if own < rep.share {
		return true
	}
	said := rep.report.Load()
	return float64(said.Running)+float64(rep.sent.Load())+1 <= r.borrow.part()*float64(rep.Limit)
}

// borrowing is the part of a replica's slots up to which this proxy goes beyond its share. Reports are old by the time of several requests,
// and all proxies look at the same ones: who meets a full replica halves its part, and each answer gives a little back.
type borrowing struct {
	mu  sync.Mutex
	now float64
}

func (b *borrowing) part() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *borrowing) learn(isFull bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isFull {
		b.now /= 2
	} else {
		b.now = min(b.now+borrowStep, borrowMost)
	}
}

// giveBack returns a credit.
func (r *Router) giveBack(c credit) { c.replica.running.Add(-1) }

// chain gives the prompt's block hashes in a cache domain, made once.
func (x *Exchange) chain(domain string) []string {
	if x.chains == nil {
		x.chains = map[string][]string{}
	}
	chain, isMade := x.chains[domain]
	if !isMade {
		chain = prompt.Blocks(domain, x.Prompt.Text)
		x.chains[domain] = chain
	}
	return chain
}

// anchor stands for the prompt's opening, on which proxies without news agree.
func (x *Exchange) anchor(domain string) string {
	if chain := x.chain(domain); len(chain) > 0 {
		return chain[min(len(chain), 4)-1]
	}
	return x.Tenant.Name
}
