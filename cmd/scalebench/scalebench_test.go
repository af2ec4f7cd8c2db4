package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/protocol"
	"asterridge/rpc"
	"asterridge/sim"
)

// startHere runs children within the test's own process.
func startHere(on hosts) starter {
	return func() (io.WriteCloser, io.Reader, func(), error) {
		orders, in := io.Pipe()
		out, answers := io.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = serveChild(orders, answers, on)
			_ = answers.Close()
		}()
		return in, out, func() { _ = in.Close(); <-ended }, nil
	}
}

// simulatedHost gives free ports, as a machine's network does.
type simulatedHost struct {
	*sim.Host
	lastPort *atomic.Int64
}

// Listen takes port 0 for any that is free.
func (h simulatedHost) Listen(address string) (net.Listener, error) {
	if ip, port, _ := net.SplitHostPort(address); port == "0" {
		address = net.JoinHostPort(ip, strconv.FormatInt(h.lastPort.Add(1), 10))
	}
	return h.Host.Listen(address)
}

// simulated plays with hosts in fake time, whose network is this process's memory.
func simulated(t *testing.T, play func(t *testing.T, on hosts)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, lastPort := sim.NewNetwork(time.Millisecond), &atomic.Int64{}
		lastPort.Store(10000)
		defer network.End()
		play(t, func(ip string) rpc.Network { return simulatedHost{network.Host(ip), lastPort} })
	})
}

// Each slope that the page names can be measured, small, by its own command; the table and the picture come of it.
func TestEachSlopeIsMeasuredAndDrawn(t *testing.T) {
	for _, m := range measurements {
		measured := func(t *testing.T, on hosts) {
			is, folder, out := is.New(t), t.TempDir(), &strings.Builder{}
			sizes := map[string]string{"daemons": "2,3", "whole": "2", "index": "1000,2000,4000", "blocks": "100,200", "claims": "1,2"}[m.name]
			if sizes == "" {
				sizes = "4"
			}
			length := "300ms"
			if m.name == "claims" {
				length = "30ms" // each claim is synced to disks, and that takes no fake time
			}
			o, err := readFlags([]string{"-measure", m.name, "-sizes", sizes, "-length", length, "-settle", "50ms", "-limit", "1m", "-plot", folder}, io.Discard)
			is.NoErr(err)
			o.start, o.hosts = startHere(on), on
			is.NoErr(run(context.Background(), o, out))
			is.True(strings.Contains(out.String(), m.grows))
			picture, err := os.ReadFile(filepath.Join(folder, m.name+".svg"))
			is.NoErr(err)
			is.True(strings.Contains(string(picture), "<svg"))
		}
		t.Run(m.name, func(t *testing.T) { simulated(t, measured) })
	}
}

// On the machine's own network and disk a child opens its daemons' ports on addresses of their own, writes to its disks, and tells of itself.
func TestChildRunsOnLoopback(t *testing.T) {
	is, folder := is.New(t), t.TempDir()
	cores, err := startChild(startHere(onLoopback), setup{Role: "cores", Count: 2, Folder: folder, Platform: true})
	is.NoErr(err)
	defer cores.end()
	is.Equal(len(cores.started.Addresses), 2)
	for i, address := range cores.started.Addresses {
		is.True(strings.HasPrefix(address, fmt.Sprintf("127.1.1.%d:", i+1)))
		h, err := rpc.Call[protocol.Hello](t.Context(), rpc.NewClient(fleetName, onLoopback(operatorIP)), address, "/core/hello", protocol.Hello{})
		is.NoErr(err)
		is.Equal(h.Address, address)
	}
	now, err := cores.do(order{Do: "collect"})
	is.NoErr(err)
	is.True(now.Files >= 2 && now.FileBytes > 0)
	is.True(now.Descriptors > 0 && now.Heap > 0 && now.Resident > 0 && now.Processor > 0)
	_, err = cores.do(order{Do: "restart", Core: 2})
	is.True(err != nil) // there is none
}

// The page's commands name slopes and flags that there are, its pictures are there, and each slope has its command on the page.
func TestThePagesCommandsAreUnderstood(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	var named []string
	for _, command := range regexp.MustCompile("`bin/scalebench ([^`]+)`").FindAllStringSubmatch(string(raw), -1) {
		o, err := readFlags(strings.Fields(command[1]), io.Discard)
		if err != nil {
			t.Errorf("%s: %v", command[0], err)
		}
		named = append(named, o.measure)
	}
	for _, m := range measurements {
		if !slices.Contains(named, m.name) {
			t.Errorf("the page has no command for the slope %s", m.name)
		}
	}
	for _, picture := range regexp.MustCompile(`\]\((capacity/[^)]+)\)`).FindAllStringSubmatch(string(raw), -1) {
		_, err := os.Stat(filepath.Join("../../docs", picture[1]))
		is.NoErr(err)
	}
}

func TestFlagsThatMakeNoSenseAreRefused(t *testing.T) {
	for _, args := range []string{"-measure clouds", "-sizes 1,x", "-sizes 0", "-settings ours", "-length 0s", "-limit -1s"} {
		if _, err := readFlags(strings.Fields(args), io.Discard); err == nil {
			t.Errorf("%s was taken", args)
		}
	}
}

func TestFitTellsALineFromACurveAndFromNothing(t *testing.T) {
	is := is.New(t)
	rows := func(of func(x float64) float64) (all []row) {
		for _, x := range []float64{12, 50, 150, 400} {
			all = append(all, row{x, []figure{one("", "", of(x))}})
		}
		return all
	}
	slope, at0, form := fit(rows(func(x float64) float64 { return 3*x + 7 }), 0)
	is.True(math.Abs(slope-3) < 1e-9 && math.Abs(at0-7) < 1e-6)
	is.Equal(form, "line")
	_, _, form = fit(rows(func(x float64) float64 { return x * x }), 0)
	is.Equal(form, "no line")
	_, _, form = fit(rows(func(x float64) float64 { return 100 + x/100 }), 0)
	is.Equal(form, "steady")
}

// Heads and bodies are told apart, also where a body comes in pieces.
func TestTrafficIsCountedByPath(t *testing.T) {
	is := is.New(t)
	l, err := hosts(onLoopback).listen(4, 0)
	is.NoErr(err)
	defer l.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 100))
		for _, piece := range []string{answer, `{"image"`, `:true}`} {
			_, _ = io.WriteString(c, piece)
		}
	}()
	n := &countingNet{Network: &rpc.TCP{}, counter: newCounter()}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	c, err := n.DialContext(ctx, "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	const ask = "POST /core/pull HTTP/1.1\r\n\r\n"
	_, err = io.WriteString(c, ask+"{}")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.NoErr(err)
	is.Equal(len(n.counter.all()), 1)
	sum := n.counter.all()["/core/pull"]
	is.Equal(sum.Messages, 1)
	is.Equal(sum.HeadOut, int64(len(ask)))
	is.Equal(sum.BodyOut, int64(2))
	is.Equal(sum.HeadIn, int64(len(answer)))
	is.Equal(sum.BodyIn, int64(14))
}
