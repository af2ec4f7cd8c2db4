package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"asterridge/fake"
)

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.figures = append(f.figures, fmt.Sprintf(format, args...))
}

// probe sends requests to every proxy until it gives a whole answer: all machines are back, and service has to return.
func (f *fleet) probe(ctx context.Context) {
	f.factLog.Add(fake.Fact{Kind: fake.Returned})
	probing, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	fake.Probe(probing, fake.LoadOptions{Callers: f.keys[len(f.tenants)-1:], Proxies: f.proxies, Client: &http.Client{}, Prefix: "back", Deadline: time.Minute,
		Ledger: func(a fake.Exchange) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probed = append(f.probed, a)
		}})
}

// comeToRest repairs what operators have to, and then reads what each core and proxy holds.
func (f *fleet) comeToRest(ctx context.Context) error {
	err := f.repair(ctx)
	after(ctx, 2*time.Second) // what was undecided is settled, and all have caught up
	for i, core := range f.cores {
		if f.gone[i] {
			continue
		}
		f.rest = append(f.rest, fake.States(rows(f.queryCore(core, "fields")))...)
	}
	f.rest = append(f.rest, fake.States(rows(f.query("proxyfields")))...)
	return err
}

// noteCounts sums the proxies' counters.
func (f *fleet) noteCounts() {
	sum := map[string]float64{}
	for _, row := range f.query("counts") {
		for name, value := range row {
			if n, number := value.(float64); number {
				sum[name] += n
			}
		}
	}
	f.note("claims %.0f, mean %.1f ms; first attempts %.0f, retries %.0f, throttles seen %.0f",
		sum["claims"], sum["claim_us"]/max(1, sum["claims"])/1000, sum["first_shots"], sum["second_shots"], sum["throttles"])
}

func readLines[T any](path string) []T {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	var all []T
	lines := bufio.NewReader(file)
	for {
		raw, err := lines.ReadBytes('\n')
		var line T
		if len(raw) > 0 && json.Unmarshal(raw, &line) == nil {
			all = append(all, line)
		}
		if err == io.EOF {
			return all
		}
		if err != nil {
			return all
		}
	}
}

// report checks the ledgers, prints the table and returns the number of breaches.
func (f *fleet) report() int {
	l := fake.Ledgers{Asked: readLines[fake.Exchange](f.path("callers.ledger")), Facts: f.factLog.Facts(), Rest: f.rest}
	fmt.Println(fake.Summary(l.Asked))
	l.Asked = append(l.Asked, f.probed...)
	for name := range f.replicas {
		l.Runs = append(l.Runs, readLines[fake.Run](f.path(name+".ledger"))...)
	}
	fmt.Println("at the end every proxy's first whole answer came after:", fake.Returns(l))
	hit, fetched, blocks, executed, rejected := 0, 0, 0, 0, 0
	for _, r := range fake.LastOfEach(l.Runs) {
		if r.HasRun {
			executed++
			hit += r.Hit
			fetched += r.Fetched
			blocks += r.Size
		} else {
			rejected++
		}
	}
	fmt.Printf("replicas: ran %d, refused %d, cache hit share %.3f, %.3f of it fetched\n", executed, rejected,
		float64(hit)/float64(max(1, blocks)), float64(fetched)/float64(max(1, hit)))
	for _, figure := range f.figures {
		fmt.Println(figure)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tbreaches\tjudged\twhat\tfirst")
	sum := 0
	for _, finding := range fake.Check(l) {
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\n", finding.Rule, finding.Count, finding.Seen, finding.Name, finding.First)
		sum += finding.Count
	}
	_ = w.Flush() // a terminal that is gone has nobody to tell
	fmt.Println("data:", f.options.data)
	return sum
}
