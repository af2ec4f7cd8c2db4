package proxy

import (
	"time"

	"asterridge/config"
	"asterridge/daemon"
)

// The bounds on a caller's connection where neither the options nor the configuration give one.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the most that a configuration may allow; the router holds each request to what it does allow.
	maxHeaderBytes = 1 << 20
)

// effectiveTimeouts takes the times from the configuration's limits, and from the options what the limits leave open.
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
