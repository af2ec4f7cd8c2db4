// Command core keeps the fleet's control state on its disk.
package main

import (
	"context"

	"asterridge/daemon"
	"asterridge/disk"
)

func main() {
	s := daemon.NewSettings("core", "keeps control state on a disk; four of them, one a zone")
	data := s.Text("data", "", "data `folder`; all files live below it")
	s.Needed("name", "zone", "address", "seeds", "data")
	daemon.Main(s, func(ctx context.Context) error {
		folder, err := disk.NewFolder(*data)
		if err != nil {
			return err
		}
		core, err := daemon.NewCore(s.Place, folder)
		if err != nil {
			return err
		}
		listener, err := s.Place.Net.Listen(s.Place.Address)
		if err != nil {
			return err
		}
		return core.Serve(ctx, listener)
	})
}
