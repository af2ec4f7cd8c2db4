// Command agent keeps one machine's links to the cores and feeds the proxy beside it.
package main

import (
	"context"

	"asterridge/daemon"
)

func main() {
	s := daemon.NewSettings("agent", "keeps the links to the cores and feeds the proxy beside it")
	local := s.Address("local", "`ip:port` on loopback, for the proxy beside")
	s.Needed("name", "zone", "address", "seeds", "local")
	daemon.Main(s, func(ctx context.Context) error {
		inner, err := s.Place.Net.Listen(*local)
		if err != nil {
			return err
		}
		outer, err := s.Place.Net.Listen(s.Place.Address)
		if err != nil {
			return err
		}
		return daemon.NewAgent(s.Place).Serve(ctx, inner, outer)
	})
}
