package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"asterridge/config"
	"asterridge/prefixindex"
)

// kvBlock is a block on its way between replicas and stores, with who made it and under which weights.
type kvBlock struct {
	Hash      string           `json:"hash"`
	Tenant    string           `json:"tenant"`
	Weights   string           `json:"weights"`
	At        time.Time        `json:"at"`
	Placement config.Placement `json:"placement,omitzero"`
}

type kvAnswer struct {
	Name   string    `json:"name"`
	Blocks []kvBlock `json:"blocks"`
}

const maxBody = 1 << 20

// giveBlocks answers with the leading blocks of a chain that are kept here.
func (r *Replica) giveBlocks(w http.ResponseWriter, q *http.Request) {
	var chain []string
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody)).Decode(&chain); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := kvAnswer{Name: r.options.Name}
	r.mu.Lock()
	for _, hash := range chain {
		b := r.cache[hash]
		if b == nil {
			break
		}
		answer.Blocks = append(answer.Blocks, *b)
	}
	r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(answer) // a reader that is gone asks again
}

// takeBlocks keeps blocks that a replica has made: a store's side.
func (r *Replica) takeBlocks(w http.ResponseWriter, q *http.Request) {
	var blocks []kvBlock
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody)).Decode(&blocks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range blocks {
		if r.cache[b.Hash] == nil {
			r.keep(b)
		}
	}
}

// post sends JSON to another fake and reads its answer, if one is wanted.
func (r *Replica) post(ctx context.Context, address string, body, answer any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	a, err := r.options.Client.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", address, a.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(a.Body).Decode(answer)
}

// fetchBlocks gets from a source what this replica lacks of the chain, in the time that its link takes, and measures it; it gives the bytes.
func (r *Replica) fetchBlocks(q *http.Request, source string, chain []string) int {
	began := time.Now()
	var answer kvAnswer
	if err := r.post(q.Context(), source+"/kv/get", chain, &answer); err != nil {
		return 0
	}
	r.mu.Lock()
	var lacking []kvBlock
	size := 0
	for i, b := range answer.Blocks { // the leading blocks of the chain
		if r.cache[b.Hash] == nil {
			lacking = append(lacking, b)
			size += prefixindex.Covered(i+1) - prefixindex.Covered(i)
		}
	}
	bytes := float64(size)
	delay := time.Duration(bytes / r.options.Link * float64(time.Millisecond))
	r.mu.Unlock()
	if len(lacking) == 0 || !rest(q, delay) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range lacking {
		if r.cache[b.Hash] == nil && b.Weights == r.weights {
			r.keep(b)
		}
	}
	rate := bytes / max(0.1, float64(time.Since(began).Microseconds())/1000)
	if before, tried := r.fetch[answer.Name]; tried {
		rate = before + (rate-before)/2
	}
	r.fetch[answer.Name] = rate
	return size
}
