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

// kvBlock is a cached block in transit between replicas and stores, with the tenant that made it and the weights it was made under.
type kvBlock struct {
	Hash      string           `json:"hash"`
	Tenant    string           `json:"tenant"`
	Weights   string           `json:"weights"`
	At        time.Time        `json:"at"`
	Placement config.Placement `json:"placement,omitzero"`
}

// kvAnswer is the body that a source answers with.
type kvAnswer struct {
	Name   string    `json:"name"`
	Blocks []kvBlock `json:"blocks"`
}

// maxBody bounds, in bytes, the body of a transfer.
const maxBody = 1 << 20

// giveBlocks serves the leading blocks of a chain that this replica has cached.
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

// takeBlocks stores blocks that another replica has made; it is the store's side of a transfer.
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
			r.add(b)
		}
	}
}

// post sends JSON to another fake process and decodes its answer if one is wanted.
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

// fetchBlocks copies the missing blocks of a chain from a source at the speed of the link between them, records the transfer and returns
// its size in bytes.
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
	if len(lacking) == 0 || !pause(q, delay) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range lacking {
		if r.cache[b.Hash] == nil && b.Weights == r.weights {
			r.add(b)
		}
	}
	rate := bytes / max(0.1, float64(time.Since(began).Microseconds())/1000)
	if before, tried := r.fetch[answer.Name]; tried {
		rate = before + (rate-before)/2
	}
	r.fetch[answer.Name] = rate
	return size
}
