package node

import (
	"net/http"
	"net/url"
	"time"

	"hitchvale/balance"
)

func (l *eventLoop) startHealthCheck(number balance.EndpointID) {
	b := l.backendFor(number)
	if b == nil {
		return
	}
	sent := l.now()
	if !b.available() {
		l.finishHealthCheck(number, sent, attemptResult{status: balance.StatusNotSent})
		return
	}
	l.statistics.healthChecks++
	l.upstream.checkHealth(b.process, func(res attemptResult) {
		l.post(healthCheckFinished{endpoint: number, sent: sent, result: res})
	})
}

// finishHealthCheck notifies the Balancer of the result of a health check.
func (l *eventLoop) finishHealthCheck(number balance.EndpointID, sent time.Duration, res attemptResult) {
	l.handle(balance.HealthChecked{
		Endpoint: number,
		Elapsed:  l.now() - sent,
		Status:   res.status,
		Load:     res.load,
	})
}

// probe asks an endpoint for its load report.
func (x *upstreamTransport) checkHealth(to backendProcess, done func(attemptResult)) {
	x.start(new(upstreamCall), to, &forwardedRequest{method: http.MethodGet, url: &url.URL{Path: "/stats"}, host: to.addr, header: http.Header{}, healthCheck: true},
		time.Now().Add(healthCheckTimeout), func(r attemptResult) {
			if r.status == balance.StatusSucceeded && r.load.Has == 0 {
				r.load = x.readLoadReport(string(r.body))
			}
			if r.status == balance.StatusApplicationError {
				r.status = balance.StatusRejected // a probe that is turned away
			}
			done(r)
		})
}
