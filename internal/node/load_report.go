package node

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

const (
	// loadReportHeader is the response header with a backend's load report.
	loadReportHeader = "Endpoint-Load-Metrics"
	// maxLoadValue limits the values in a load report. A larger value is a mistake of the backend.
	maxLoadValue = 1e9
)

// loadReportNames maps the names in load reports to the names in the settings, where the two differ.
var loadReportNames = map[string]string{
	"inflight":   "active",
	"queue":      "waiting",
	"util":       "cpu",
	"latency_ms": "avg_ms",
	"qps":        "rps",
	"eps":        "err_rps",
}

// readLoadReport parses a backend's load report. If the report is malformed, it logs this at a bounded rate and returns
// an empty report.
func (t *upstreamTransport) readLoadReport(text string) balance.Load {
	load, err := parseLoadReport(text)
	if err != nil {
		t.loadReportLog.Warn("malformed load report, ignoring it", "error", err)
	}
	return load
}

// parseLoadReport parses a report of the form "TEXT name=value, name=value". Unknown names are skipped. One malformed
// value makes the entire report malformed. An empty report is valid; a backend that has just started may send it.
func parseLoadReport(text string) (balance.Load, error) {
	var load balance.Load
	text = strings.TrimSpace(text)
	text = strings.TrimSpace(strings.TrimPrefix(text, "TEXT"))
	if text == "" {
		return load, nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		if err := parseLoadValue(&load, strings.TrimSpace(pair)); err != nil {
			return balance.Load{}, err
		}
	}
	return load, nil
}

// parseLoadValue parses "name=value" and sets the value in a load report.
func parseLoadValue(load *balance.Load, pair string) error {
	name, value, ok := strings.Cut(pair, "=")
	if !ok {
		return fmt.Errorf("%.40q is not name=value", pair)
	}
	if settingsName, ok := loadReportNames[name]; ok {
		name = settingsName
	}
	// The order is that of siteconfig.LoadFieldNames, and of the bits of Has.
	fields := [...]*float64{&load.Active, &load.Waiting, &load.CPU, &load.AvgMs, &load.RPS, &load.ErrRPS}
	index := slices.Index(siteconfig.LoadFieldNames, name)
	if index < 0 {
		return nil
	}
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed < maxLoadValue) {
		return fmt.Errorf("%s: %.40q is not a number from 0 to below %g", name, value, maxLoadValue)
	}
	*fields[index] = parsed
	load.Has |= 1 << index
	return nil
}
