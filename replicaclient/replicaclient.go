// Package replicaclient calls replicas that speak our own interface: it asks for reports and sends orders.
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
	// Timeout bounds one call to a replica.
	Timeout = time.Second
	// idleConnections and idleTimeout bound the connections kept to each replica.
	idleConnections = 2
	idleTimeout     = 10 * time.Second
)

// New makes an HTTP client for replicas. It follows no redirects.
func New(network rpc.Network) *http.Client {
	return rpc.NewHTTPClient(network, idleConnections, idleTimeout)
}

// Report is a replica's report of its load, with the changes of its cache.
type Report struct {
	router.Report
	// Snapshot is true if Cached is all that the replica has in its cache, not only what came since the last report.
	Snapshot bool     `json:"image"`
	Cached   []string `json:"kept,omitempty"`    // hashes of blocks that came into the cache
	Dropped  []string `json:"dropped,omitempty"` // hashes of blocks that left it
}

// GetReport asks a replica for its load, and for what has changed in its cache since the last report. The error is apierror.Unreachable
// if the replica does not answer with a report, apierror.Malformed if the report cannot be read.
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

// PostOrder sends an order to a replica as JSON, and waits Timeout at most for the answer. The error is apierror.Unreachable if there
// is no answer or another status than 200; the replica may have taken the order all the same.
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
	_ = response.Body.Close() // the status is all that counts
	if response.StatusCode != http.StatusOK {
		return apierror.New(apierror.Unreachable, "order: %s", response.Status)
	}
	return nil
}
