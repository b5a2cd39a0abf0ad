package node

import (
	"context"
	"time"

	"hitchvale/balance"
)

// uploadEnd is how the sending of a streamed request ended.
type uploadEnd struct {
	writeFailed bool // the connection to the backend broke; otherwise its client did
	complete    bool // the last byte was written
}

// streamRequest writes a request whose body is still coming from its client, and reads the response, which may come
// before the body's end. The exchange's time begins with the last byte.
func (e *upstreamExchange) streamRequest(ctx context.Context) attemptResult {
	upload := e.request.upload
	e.conn.SetWriteDeadline(time.Now().Add(streamStallTimeout))
	head := e.request.encodeHead(e.conn.Server.Addr, e.request.timeLeft)
	if _, err := e.conn.Write(head); err != nil {
		e.discard(ctx, "request not written", err)
		return attemptResult{status: balance.StatusNotDelivered, notReplayable: upload.anyForwarded()}
	}
	sent := make(chan uploadEnd, 1)
	go e.copyUpload(sent)
	result, err := e.readResponse()
	if err != nil {
		upload.abandon()
		e.transport.pool.Discard(e.conn) // nothing more is written from here on
		status := e.brokenUploadStatus(ctx, sent, err)
		e.transport.logFailure(ctx, e.request, e.conn.Server, "no complete response to a streamed request", err)
		return attemptResult{status: status, notReplayable: true}
	}
	result.notReplayable = true
	if result.status != balance.StatusSucceeded {
		upload.abandon() // the backend has refused it, perhaps before its end
	}
	return result
}

// copyUpload passes the body on. After an error of writing the connection stays open, as what the backend sent before
// it broke off may still be read; after an error of the client it is closed.
func (e *upstreamExchange) copyUpload(sent chan<- uploadEnd) {
	writeFailed, err := e.request.upload.copyTo(e.conn)
	sent <- uploadEnd{writeFailed: writeFailed, complete: err == nil}
	switch {
	case err == nil:
		e.transport.writtenRequests.Add(1)
		e.conn.SetReadDeadline(e.request.onWritten())
	case !writeFailed || timedOut(err):
		e.conn.Close()
	}
}

// brokenUploadStatus is the status of a streamed request without a complete response. It may have run only if its
// client has sent the last byte, and that was written.
func (e *upstreamExchange) brokenUploadStatus(ctx context.Context, sent <-chan uploadEnd, err error) balance.Status {
	if e.request.upload.complete.Load() {
		if end := <-sent; end.complete {
			return statusWithoutResponse(ctx, err)
		}
		return balance.StatusNotDelivered
	}
	if len(sent) > 0 && !(<-sent).writeFailed {
		return balance.StatusNotSent // its client has not sent it
	}
	return balance.StatusNotDelivered
}
