package daemon

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

// NewReplicaClient makes a client for what is outside the fleet.
func NewReplicaClient(network rpc.Network) *http.Client {
	return &http.Client{CheckRedirect: rpc.NoRedirects, Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}
}

// GetReport asks a replica for its load, and for what its cache has got or lost since the last report.
func GetReport(ctx context.Context, client *http.Client, dialect router.Dialect, r config.Replica, last router.Report) (ReplicaReport, error) {
	var body ReplicaReport
	address := "http://" + r.Address + dialect.ReportPath() + "?run=" + last.Run + "&from=" + strconv.FormatUint(last.Number, 10)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return body, apierror.Wrap(err, apierror.Settings, "replica address")
	}
	answer, err := client.Do(q)
	if err != nil {
		return body, apierror.Wrap(err, apierror.Unreachable, "report")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return body, apierror.New(apierror.Unreachable, "report: %s", answer.Status)
	}
	return body, apierror.Wrap(json.NewDecoder(answer.Body).Decode(&body), apierror.Malformed, "report")
}

// PostOrder sends a small order to a replica.
func PostOrder(ctx context.Context, client *http.Client, address string, order any) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode order")
	}
	short, stop := context.WithTimeout(ctx, ReportTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(short, http.MethodPost, "http://"+address, bytes.NewReader(raw))
	if err != nil {
		return apierror.Wrap(err, apierror.Settings, "replica address")
	}
	answer, err := client.Do(q)
	if err != nil {
		return apierror.Wrap(err, apierror.Unreachable, "order")
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return apierror.New(apierror.Unreachable, "order: %s", answer.Status)
	}
	return nil
}

// ReplicaReport is a replica's report with what it keeps since the number asked from.
type ReplicaReport struct {
	router.Report
	Snapshot bool     `json:"image"`
	Cached   []string `json:"kept,omitempty"`
	Dropped  []string `json:"dropped,omitempty"`
}
