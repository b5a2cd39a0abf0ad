package node

import (
	"context"
	"time"

	"hitchvale/balance"
)

// uploadResult says how the sending of a streamed body ended.
type uploadResult struct {
	writeFailed bool // whether an error came from writing to the backend, and not from reading the client's body
	complete    bool // the last byte was written without an error
	err         error
}

// streamRequest writes a request while its body is still arriving from the client, and reads the response, which may
// precede the end of the body. The deadline of the exchange counts from when the last byte of the body has reached this
// machine.
func (e *upstreamExchange) streamRequest(ctx context.Context) attemptResult {
	upload := e.request.upload
	upload.arrival.check()
	head := e.request.encodeHead(e.conn.Server.Addr, upload.arrival.remaining(e.request.timeLeft))
	if _, err := (stallLimitedWriter{e.conn}).Write(head); err != nil {
		e.discard(ctx, "request not written", err)
		return attemptResult{status: balance.StatusNotDelivered, notReplayable: upload.anyForwarded()}
	}
	uploaded := make(chan uploadResult, 1)
	go e.copyUpload(uploaded)
	result, err := e.readResponse()
	e.endResponseDeadline()
	if err != nil {
		upload.abandon()
		e.transport.pool.Discard(e.conn) // from here on nothing more is written
		e.logBrokenUpload(ctx, uploaded, err)
		return attemptResult{status: e.brokenUploadStatus(ctx, uploaded, err), notReplayable: true}
	}
	result.notReplayable = true
	if result.status != balance.StatusSucceeded {
		upload.abandon() // the backend has rejected the request, possibly before the end of the body
	}
	return result
}

// copyUpload sends the body to the backend and reports the result on uploaded. If the client's body cannot be read, or
// a write times out, copyUpload closes the connection. After any other write error the connection stays open, because a
// response that the backend sent before the error can still be read.
func (e *upstreamExchange) copyUpload(uploaded chan<- uploadResult) {
	writeFailed, err := e.request.upload.copyTo(e.conn, e.call.beginLastByte)
	uploaded <- uploadResult{writeFailed: writeFailed, complete: err == nil, err: err}
	switch {
	case err == nil:
		e.transport.writtenRequests.Add(1)
		e.setResponseDeadline(e.request.onWritten())
	case !writeFailed || timedOut(err):
		e.call.cancelUndelivered()
		e.abort()
	}
}

// setResponseDeadline sets the deadline for the response, unless readResponse has returned. The upload may be held up
// after its last byte, and the read deadlines of a streamed response are set by its reader.
func (e *upstreamExchange) setResponseDeadline(deadline time.Time) {
	e.responseMu.Lock()
	defer e.responseMu.Unlock()
	if !e.responseRead {
		e.conn.SetReadDeadline(deadline)
	}
}

// endResponseDeadline records that readResponse has returned.
func (e *upstreamExchange) endResponseDeadline() {
	e.responseMu.Lock()
	defer e.responseMu.Unlock()
	e.responseRead = true
}

// logBrokenUpload logs why a streamed request has no complete response, and how far its body got. An upload that fails
// closes the connection, so that the error of the response says nothing about the cause.
func (e *upstreamExchange) logBrokenUpload(ctx context.Context, uploaded chan uploadResult, err error) {
	reason := "no complete response to a streamed request"
	select {
	case result := <-uploaded:
		uploaded <- result
		if result.writeFailed {
			reason, err = "the backend has not taken the complete body of a streamed request", result.err
		}
	default:
	}
	upload := e.request.upload
	e.transport.logFailure(ctx, e.request, e.conn.Server, reason, err,
		"body_bytes_read", upload.readLength.Load(), "body_read_completely", upload.complete.Load())
}

// brokenUploadStatus returns the status of a streamed request without a complete response. The backend may have run the
// request only if the client has sent the last byte and this byte was written to the backend.
func (e *upstreamExchange) brokenUploadStatus(
	ctx context.Context, uploaded <-chan uploadResult, err error,
) balance.Status {
	if e.request.upload.complete.Load() {
		if result := <-uploaded; result.complete {
			return statusWithoutResponse(ctx, err)
		}
		return balance.StatusNotDelivered
	}
	if len(uploaded) > 0 && !(<-uploaded).writeFailed {
		return balance.StatusNotSent // the client did not send the complete body
	}
	return balance.StatusNotDelivered
}
