package sim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers that send slowly, without end or all at once are told so by code; what they hold of the proxy's memory is bounded, and the
// other tenants are served meanwhile.
func TestHostileCallersHoldBoundedRoom(t *testing.T) {
	t.Parallel()
	o := options(110)
	o.BodyMemory = 4 << 20
	inBubble(t, o, func(is *is.I, f *Fleet) {
		raw := func(head string, size int, pace time.Duration) string {
			c, err := f.Net.Host(CallerIP).DialContext(context.Background(), "tcp", ProxyAddress(0))
			is.NoErr(err)
			defer c.Close()
			go func() {
				_, _ = io.WriteString(c, "POST "+chatAddress+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a-key\r\n"+head+"\r\n\r\n")
				for sent := 0; sent < size; sent += 1000 {
					if _, err := io.WriteString(c, strings.Repeat(" ", 1000)); err != nil {
						return
					}
					time.Sleep(pace)
				}
			}()
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(answer.StatusCode, " ", answer.Header.Get("X-Result-Code"), " ", answer.Header.Get("X-Ran"))
		}
		began := time.Now()
		is.Equal(raw("Content-Length: 40000", 40000, time.Second), "408 219 no")
		is.True(time.Since(began) < 11*time.Second)
		is.Equal(raw("Content-Length: 99999999999", 0, 0), "413 106 no")
		is.Equal(raw("Content-Length: 1100000", 0, 0), "503 218 no") // a quarter of the room is 1 MiB
		var all sync.WaitGroup
		var mu sync.Mutex
		codes := map[string]int{}
		most := int64(0)
		for range 40 { // 40 bodies of 200 kB at a time, slowly
			all.Go(func() {
				code := raw("Content-Length: 200000", 190000, 100*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				codes[code]++
			})
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, f.sum("room_used"))
			if status, _, _ := f.Ask(0, "b", "", chat("light")); status != 200 {
				t.Error("another tenant was not served: ", status)
			}
		}
		all.Wait()
		t.Logf("%v; at most %d bytes held", codes, most)
		is.True(codes["503 218 no"] >= 35 && codes["408 219 no"] >= 4)
		is.True(most > 0 && most < 1100000)
		time.Sleep(time.Second)
		is.Equal(f.sum("room_used"), int64(0))
	})
}

// A stream is as long as it is: no bound on reading a request ends it.
func TestStreamOfMinutesRunsToItsEnd(t *testing.T) {
	t.Parallel()
	o := options(111)
	o.Proxies, o.Replicas, o.Replica.ChunkMs = 1, 1, 1000
	inBubble(t, o, func(is *is.I, f *Fleet) {
		status, _, text := f.Ask(0, "a", "", `{"model":"light","stream":true,"max_tokens":135,"messages":[{"role":"user","content":"a long one"}]}`)
		is.Equal(status, 200)
		is.True(strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]"))
		noBreach(is, f)
	})
}
