// Command agent keeps one machine's links to the cores and feeds the proxy beside it.
package main

import (
	"context"

	"asterridge/agent"
	"asterridge/daemon"
	"asterridge/disk"
)

func main() {
	s := daemon.NewSettings("agent", "keeps the links to the cores and feeds the proxy beside it")
	local := s.Address("local", "`ip:port` on loopback, for the proxy beside")
	data := s.Text("data", "", "`folder` where it keeps the cores' addresses; none if empty")
	s.Require("name", "zone", "address", "seeds", "local")
	daemon.Main(s, func(ctx context.Context) error {
		var kept disk.Disk
		if *data != "" {
			folder, err := disk.NewFolder(*data)
			if err != nil {
				return err
			}
			kept = folder
		}
		inner, err := s.Host.Net.Listen(*local)
		if err != nil {
			return err
		}
		outer, err := s.Listen()
		if err != nil {
			return err
		}
		return agent.New(s.Host, kept, agent.Options{}).Serve(ctx, inner, outer)
	})
}
