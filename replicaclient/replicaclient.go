// Package replicaclient calls replicas that implement asterridge's own replica protocol: it gets their load reports and sends them orders.
package replicaclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	// Timeout is the time limit of one call to a replica.
	Timeout = time.Second
	// idleConnections is how many idle connections are kept to each replica, idleTimeout for how long.
	idleConnections = 2
	idleTimeout     = 10 * time.Second
)

// New returns an HTTP client for replicas. It does not follow redirects.
func New(network rpc.Network) *http.Client {
	return rpc.NewHTTPClient(network, idleConnections, idleTimeout)
}

// Report is a replica's report of its load and of the changes to its cache.
type Report struct {
	router.Report
	// Snapshot is true if Cached has all blocks in the cache, not only those that were added since the last report.
	Snapshot bool     `json:"image"`
	Cached   []string `json:"kept,omitempty"`    // hashes of blocks that were added to the cache
	Dropped  []string `json:"dropped,omitempty"` // hashes of blocks that were evicted
}

// GetReport asks a replica for its load and for the changes to its cache since the last report. The error is apierror.Unreachable if the
// replica does not answer with a report, apierror.Malformed if the report cannot be decoded.
func GetReport(ctx context.Context, client *http.Client, protocol router.Protocol, replica config.Replica, last router.Report) (Report, error) {
	var report Report
	address := "http://" + replica.Address + protocol.ReportPath() + "?run=" + last.Run + "&from=" + strconv.FormatUint(last.Number, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return report, apierror.Wrap(err, apierror.Settings, "replica address")
	}
	response, err := client.Do(request)
	if err != nil {
		return report, apierror.Wrap(err, apierror.Unreachable, "report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, apierror.New(apierror.Unreachable, "report: %s", response.Status)
	}
	return report, apierror.Wrap(json.NewDecoder(response.Body).Decode(&report), apierror.Malformed, "report")
}

// PostOrder sends an order to a replica as JSON, and waits at most Timeout for the answer. The error is apierror.Unreachable if there is no
// answer or its status is not 200; the replica may have accepted the order nevertheless.
func PostOrder(ctx context.Context, client *http.Client, address string, order any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return apierror.Wrap(err, apierror.Settings, "replica address")
	}
	response, err := client.Do(request)
	if err != nil {
		return apierror.Wrap(err, apierror.Unreachable, "order")
	}
	_ = response.Body.Close() // only the status is used
	if response.StatusCode != http.StatusOK {
		return apierror.New(apierror.Unreachable, "order: %s", response.Status)
	}
	return nil
}
