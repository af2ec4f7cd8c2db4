package gossip

import (
	"slices"
	"time"
)

const (
	// introductionTime is how long after its start a node tries all remembered addresses again and again; after that, a few at a time.
	introductionTime = 10 * time.Second
	// introductionRounds is the number of rounds between two tries of the remembered addresses during introductionTime.
	introductionRounds = 2
	// maxIntroductions bounds the remembered addresses that are tried in one round.
	maxIntroductions = 32
	// maxRetries bounds the addresses that are tried in one full synchronization.
	maxRetries = 3
	// maxRemembered bounds the remembered addresses.
	maxRemembered = 1024
	// forgetAfter is how long an address is tried without an answer.
	forgetAfter = 10 * time.Minute
)

// Remember makes this node send heartbeats to addresses that an earlier run of its process knew, until it hears from them. A process whose
// seeds are all gone is found in this way, since it can reach nobody by itself.
func (d *Detector) Remember(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses[:min(len(addresses), maxRemembered)] {
		if address != d.self.Address {
			d.remembered[address] = true
		}
	}
}

// KnownAddresses returns the addresses that a later run of this process should remember: those of the live nodes, and the remembered ones
// that have not been heard from yet. They are sorted.
func (d *Detector) KnownAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []string
	for _, node := range d.others(false) {
		known = append(known, node.Address)
	}
	for address := range d.remembered {
		known = append(known, address)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	return known[:min(len(known), maxRemembered)]
}

// lostAddresses returns the addresses of nodes that are not heard from and are to be tried in this round: all that are remembered soon after
// the start, and later a few in each full synchronization, among the remembered ones and the nodes that are down. The caller holds d.mu.
func (d *Detector) lostAddresses(now time.Time) []string {
	age := now.Sub(d.startedAt)
	if age > forgetAfter {
		clear(d.remembered)
	}
	lost := d.shuffledRemembered()
	switch {
	case age < introductionTime && d.round%introductionRounds == 0:
		return lost[:min(len(lost), maxIntroductions)]
	case d.round%fullSyncRounds != 0:
		return nil
	}
	for _, e := range d.nodes {
		if e.Down && now.Sub(e.lastHeard) < forgetAfter {
			lost = append(lost, e.Address)
		}
	}
	slices.Sort(lost) // so that a seed gives the same order
	d.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost[:min(len(lost), maxRetries)]
}

// shuffledRemembered returns the remembered addresses in random order. The caller holds d.mu.
func (d *Detector) shuffledRemembered() (addresses []string) {
	for address := range d.remembered {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses) // so that a seed gives the same order
	d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
