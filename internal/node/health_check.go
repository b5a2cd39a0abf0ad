package node

import (
	"net/http"
	"net/url"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// healthCheckTimeout is how long a health check may take. A load report that arrives later is outdated.
const healthCheckTimeout = 150 * time.Millisecond

// startHealthCheck carries out the Balancer's decision to check an endpoint. The check of an unavailable backend ends
// immediately with StatusNotSent.
func (l *eventLoop) startHealthCheck(id balance.EndpointID) {
	b := l.backendFor(id)
	if b == nil {
		return
	}
	sent := l.now()
	if !b.available() {
		l.finishHealthCheck(id, sent, attemptResult{status: balance.StatusNotSent})
		return
	}
	l.statistics.healthChecks++
	l.upstream.checkHealth(b.process, func(result attemptResult) {
		l.post(healthCheckFinished{endpoint: id, sent: sent, result: result})
	})
}

// finishHealthCheck notifies the Balancer of the result of a health check.
func (l *eventLoop) finishHealthCheck(id balance.EndpointID, sent time.Duration, result attemptResult) {
	l.handle(balance.HealthChecked{
		Endpoint: id,
		Elapsed:  l.now() - sent,
		Status:   result.status,
		Load:     result.load,
	})
}

// checkHealth asks a backend for its load report and calls done with the result from another goroutine. A backend that
// answers with an error counts as rejecting the request.
func (t *upstreamTransport) checkHealth(to connpool.Server, done func(attemptResult)) {
	request := &forwardedRequest{
		method:      http.MethodGet,
		url:         &url.URL{Path: "/stats"},
		host:        to.Addr,
		header:      http.Header{},
		healthCheck: true,
	}
	deadline := time.Now().Add(healthCheckTimeout)
	t.start(new(upstreamCall), to, request, deadline, func(result attemptResult) {
		if result.status == balance.StatusSucceeded && result.load.Has == 0 {
			result.load = t.readLoadReport(string(result.body))
		}
		if result.status == balance.StatusApplicationError {
			result.status = balance.StatusRejected
		}
		done(result)
	})
}
