// Command core keeps the fleet's control state on its disk.
package main

import (
	"context"
	"time"

	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/disk"
)

func main() {
	s := daemon.NewSettings("core", "keeps control state on a disk; four of them, one a zone")
	data := s.Text("data", "", "data `folder`; all files live below it")
	age := s.Integer("claim_age_s", 3600, 10, 7*24*3600, "how many `seconds` callers' keys are remembered, at the least")
	s.Require("name", "zone", "address", "seeds", "data")
	daemon.Main(s, func(ctx context.Context) error {
		folder, err := disk.NewFolder(*data)
		if err != nil {
			return err
		}
		core, err := controlplane.New(s.Host, folder, controlplane.Options{ClaimRetention: time.Duration(*age) * time.Second, LeaveTimeout: controlplane.MaxLeaveTimeout})
		if err != nil {
			return err
		}
		listener, err := s.Listen()
		if err != nil {
			return err
		}
		return core.ServeUntilStopped(ctx, listener)
	})
}
