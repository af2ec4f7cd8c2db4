package proxy

import (
	"time"

	"asterridge/config"
	"asterridge/daemon"
)

// Limits of client connections. The time-outs apply where neither the options nor the configuration set one.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the largest header limit that a configuration may set; the router enforces the configured limit on each request.
	maxHeaderBytes = 1 << 20
)

// effectiveTimeouts returns the time-outs set in the configuration's limits, with those from the options where the limits set none.
func effectiveTimeouts(limits config.Limits, options Options) daemon.ConnectionTimeouts {
	timeouts := daemon.ConnectionTimeouts{Header: options.HeaderTimeout, Idle: options.IdleTimeout}
	if limits.HeaderMs > 0 {
		timeouts.Header = time.Duration(limits.HeaderMs) * time.Millisecond
	}
	if limits.IdleMs > 0 {
		timeouts.Idle = time.Duration(limits.IdleMs) * time.Millisecond
	}
	return timeouts
}
