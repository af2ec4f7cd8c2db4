// Command proxy is a thin daemon over the router library.
package main

import (
	"context"
	"time"

	"asterridge/daemon"
	"asterridge/proxy"
)

func main() {
	s := daemon.NewSettings("proxy", "leads callers' requests to replicas under the shared waiting rule")
	agent := s.Address("agent", "`ip:port` of the agent on loopback")
	admin := s.Address("admin", "`ip:port` on loopback for queries and readiness")
	grace := s.Integer("grace_ms", 8000, 0, 600000, "how many `ms` running streams have after a stop")
	index := s.Integer("index", 200000, 0, 10000000, "entries of the index of kept prompts; 0: none")
	room := s.Integer("room_mb", 256, 1, 1<<20, "`MiB` of callers' bodies held at a time; a tenant gets a quarter at most")
	s.Require("name", "zone", "address", "agent", "admin")
	daemon.Main(s, func(ctx context.Context) error {
		callers, err := s.Listen()
		if err != nil {
			return err
		}
		queries, err := s.Host.Net.Listen(*admin)
		if err != nil {
			return err
		}
		proxy := proxy.New(s.Host, proxy.Options{
			Agent: *agent, Admin: *admin, Grace: time.Duration(*grace) * time.Millisecond, Seed: uint64(time.Now().UnixNano()), PrefixIndexSize: *index, BodyMemory: int64(*room) << 20,
		})
		return proxy.Serve(ctx, callers, queries)
	})
}
