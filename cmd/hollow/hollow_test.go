package main

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startHere runs a child within the test's own process.
func startHere() (io.WriteCloser, io.Reader, func(), error) {
	orders, in := io.Pipe()
	out, answers := io.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = serveChild(orders, answers)
		_ = answers.Close()
	}()
	return in, out, func() { _ = in.Close(); <-ended }, nil
}

// Each slope that the page names can be measured, small, by its own command; the table and the picture come of it.
func TestEachSlopeIsMeasuredAndDrawn(t *testing.T) {
	for _, m := range measurements {
		t.Run(m.name, func(t *testing.T) {
			is, folder, out := is.New(t), t.TempDir(), &strings.Builder{}
			sizes := map[string]string{"daemons": "2,3", "whole": "2", "index": "1000,2000,4000", "blocks": "100,200", "claims": "1,2"}[m.name]
			if sizes == "" {
				sizes = "4"
			}
			o, err := readFlags([]string{"-measure", m.name, "-sizes", sizes, "-length", "300ms", "-settle", "50ms", "-limit", "1m", "-plot", folder}, io.Discard)
			is.NoErr(err)
			o.start = startHere
			is.NoErr(run(context.Background(), o, out))
			is.True(strings.Contains(out.String(), m.grows))
			picture, err := os.ReadFile(filepath.Join(folder, m.name+".svg"))
			is.NoErr(err)
			is.True(strings.Contains(string(picture), "<svg"))
		})
	}
}

// The page's commands name slopes and flags that there are, its pictures are there, and each slope has its command on the page.
func TestThePagesCommandsAreUnderstood(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	var named []string
	for _, command := range regexp.MustCompile("`bin/hollow ([^`]+)`").FindAllStringSubmatch(string(raw), -1) {
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
	l, err := listen(4, 0)
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
	n := &countingNet{counter: newCounter()}
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
