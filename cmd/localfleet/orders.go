package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/router"
	"asterridge/rpc"
)

// order sends a change to the first core that accepts it, and records it as a fact where a rule depends on it.
func (f *fleet) order(ctx context.Context, name string, q any) (controlplane.Accepted, error) {
	var last error
	for _, core := range f.cores {
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		a, err := rpc.Call[controlplane.Accepted](short, f.rpc, core, "/op/"+name, q)
		stop()
		if err == nil || apierror.Of(err).Code.Executed != apierror.NotRun {
			f.factLog.Order(name, q, a.Version, err != nil)
		}
		if err == nil {
			return a, nil
		}
		last = err
	}
	return controlplane.Accepted{}, last
}

// query returns the rows of the first core that answers.
func (f *fleet) query(what string) []router.Row {
	for _, core := range f.cores {
		if all := f.queryCore(core, what); all != nil {
			return all
		}
	}
	return nil
}

// queryCore returns one core's rows, or nil if it does not answer.
func (f *fleet) queryCore(core, what string) []router.Row {
	short, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	a, _ := rpc.Call[controlplane.QueryResponse](short, f.rpc, core, "/query", controlplane.Query{Kind: what})
	return a.Rows
}

// isFounded reports whether every core is a member and reaches a majority.
func (f *fleet) isFounded() bool {
	for _, core := range f.cores {
		if !isReady(core) {
			return false
		}
	}
	return true
}

func isReady(address string) bool {
	r, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close() // the status is all that counts
	return r.StatusCode == http.StatusOK
}

// areReady reports whether all proxies are ready and have the newest configuration.
func (f *fleet) areReady(least uint64) bool {
	have := 0
	for _, row := range f.query("acks") {
		version, _ := row[config.Key].(float64)
		if row["has_newest"] == true && uint64(version) >= least && row["current"] == true {
			have++
		}
	}
	if have < f.options.proxies {
		return false
	}
	for _, admin := range f.admins {
		if !isReady(admin) {
			return false
		}
	}
	return true
}

// behave sets how replicas treat a tenant.
func (f *fleet) behave(b fake.Behaviour) {
	raw, _ := json.Marshal(b)
	client := &http.Client{Timeout: time.Second}
	for _, at := range f.replicas {
		if r, err := client.Post("http://"+at+"/control", "application/json", bytes.NewReader(raw)); err == nil { // one that is dead forgets anyway
			_ = r.Body.Close()
		}
	}
}

func rows(all []router.Row) (plain []map[string]any) {
	for _, row := range all {
		plain = append(plain, row)
	}
	return plain
}
