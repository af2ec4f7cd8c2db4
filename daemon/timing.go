package daemon

import "time"

const LivenessTimeout = time.Second // a core not heard for so long is not picked as an owner

const QuorumTimeout = 1500 * time.Millisecond

const ProxyTimeout = 3 * time.Second

const DefaultWatchWait = 100 * time.Millisecond

const FreshLimit = 1200 * time.Millisecond // T

const UndecidedLimit = 500 * time.Millisecond // U

const ReportTimeout = time.Second
