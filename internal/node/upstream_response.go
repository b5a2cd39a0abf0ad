package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

const (
	// neverRanHeader is set to 1 by a backend on the response to a request that the backend has not run.
	neverRanHeader = "X-Never-Ran"
	// maxInformational is how many 1xx responses may precede the final response.
	maxInformational = 8
	// maxResponseBytes limits the bytes of a response on the connection. A body in small chunks takes several times its
	// own size.
	maxResponseBytes = maxHeadBytes + 4*maxBodyBytes
)

// readResponse reads a response. If the body is large, or its length is unknown and the body does not end soon, it
// reads only a part and returns a stream for the client. The connection is released or closed once the complete
// response has been read. After an error the caller must discard the connection.
func (e *upstreamExchange) readResponse() (attemptResult, error) {
	resp, err := readResponseHead(e.conn, e.request.method)
	if err != nil {
		return attemptResult{}, err
	}
	result := attemptResult{status: responseStatus(resp), contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get(loadReportHeader); text != "" && e.transport.inlineLoadReports {
		result.load = e.transport.readLoadReport(text)
	}
	mayStream := !e.request.healthCheck && result.status == balance.StatusSucceeded
	body, held, complete, err := e.readBody(resp, mayStream)
	if err != nil {
		return attemptResult{}, err
	}
	result.held = held
	detached := e.detach()
	switch {
	case complete && detached:
		e.finishResponse(resp, true)
	case complete:
		e.transport.pool.Discard(e.conn)
	case !detached:
		held.release()
		return attemptResult{}, context.Canceled
	default:
		e.conn.UnlimitRead()
		result.stream = &responseStream{
			buffered: body,
			size:     resp.ContentLength,
			body:     resp.Body,
			buffers:  e.transport.streamBuffers,
			backend:  e.conn,
			release:  func(complete bool) { e.finishResponse(resp, complete) },
		}
		return result, nil
	}
	result.body = body
	return result, nil
}

// readResponseHead reads the head of the final response to a request and skips 1xx responses. It limits the bytes that
// can be read from the connection to maxResponseBytes.
func readResponseHead(conn *connpool.Conn, method string) (*http.Response, error) {
	conn.LimitRead(maxResponseBytes)
	request := &http.Request{Method: method}
	for range maxInformational {
		resp, err := http.ReadResponse(conn.Reader, request)
		if err != nil {
			return nil, err
		}
		informational := resp.StatusCode >= 100 && resp.StatusCode < 200
		if !informational || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx responses before the final response")
}

// finishResponse releases the connection to the pool if it can carry another request, and closes it otherwise. If the
// backend has sent more bytes than its response, the pool's quarantine starts.
func (e *upstreamExchange) finishResponse(resp *http.Response, complete bool) {
	surplus := complete && e.conn.Reader.Buffered() > 0
	if surplus {
		e.transport.pool.StartQuarantine()
	}
	endsWithConn := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if !complete || surplus || resp.Close || endsWithConn || e.request.upload != nil {
		e.transport.pool.Discard(e.conn)
		return
	}
	e.conn.SetDeadline(time.Time{})
	e.transport.pool.Release(e.conn)
}

// readBody reads the body of a response, completely if there is memory for it. If the body has to be streamed, readBody
// reads at least its first byte, because the node can still give another response to the client if the read fails
// before any byte has been forwarded. A body that may not be streamed must not exceed maxBodyBytes. The body holds
// memory of the budget until its client has taken it.
func (e *upstreamExchange) readBody(
	resp *http.Response, mayStream bool,
) (body []byte, held *heldMemory, complete bool, err error) {
	t := e.transport
	size := resp.ContentLength
	switch {
	case !mayStream:
		body, err = readShortBody(resp)
		return body, nil, err == nil, err
	case size < 0:
		return e.readUnsizedBody(resp.Body)
	case size == 0:
		return nil, nil, true, nil
	case size <= maxBodyBytes:
		held = t.bodyMemory.hold(size)
	}
	if held == nil {
		body = make([]byte, t.streamBuffers.size)
		n, err := io.ReadAtLeast(resp.Body, body, 1)
		return body[:n], nil, false, err
	}
	body = make([]byte, size)
	if _, err = io.ReadFull(resp.Body, body); err != nil {
		held.release()
		return nil, nil, false, err
	}
	return body, held, true, nil
}

// readShortBody reads a body of at most maxBodyBytes. It returns errBodyTooLong for a longer body.
func readShortBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBodyBytes {
		return nil, errBodyTooLong
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLong
	}
	return body, err
}

const (
	// maxHold is how long the first bytes of a body of unknown length are held back at most.
	maxHold = time.Second
	// holdMargin is how long before the request's deadline they are forwarded at the latest. If a body is long, its first
	// bytes have to be in time (DAYS).
	holdMargin = 50 * time.Millisecond
)

// holdUntil returns the time until which the first bytes of a body of unknown length are held back.
func (e *upstreamExchange) holdUntil() time.Time {
	until := time.Now().Add(maxHold)
	if deadline := e.request.deadline(); !deadline.IsZero() && deadline.Add(-holdMargin).Before(until) {
		return deadline.Add(-holdMargin)
	}
	return until
}

// awaitBytes waits until bytes of the body have been received or the connection has ended, and reports whether that was
// before the given time. It returns the error of a connection that did not end in order, since it is reported once.
func (e *upstreamExchange) awaitBytes(until time.Time) (inTime bool, err error) {
	if e.conn.Reader.Buffered() > 0 {
		return true, nil
	}
	e.conn.SetReadDeadline(until)
	_, err = e.conn.Reader.Peek(1)
	e.conn.SetReadDeadline(time.Time{}) // from here on, the exchange is cancelled at its deadline
	switch {
	case timedOut(err):
		return false, nil
	case err == io.EOF:
		return true, nil
	}
	return true, err
}

// readUnsizedBody reads a body of unknown length up to its end, streamBufferSize or holdUntil, or only the first bytes
// if memory for bodies is short. While no byte has been forwarded, the node can still give another response if this one
// breaks off or does not end.
func (e *upstreamExchange) readUnsizedBody(
	body io.Reader,
) (read []byte, held *heldMemory, complete bool, err error) {
	t := e.transport
	minRead := streamBufferSize
	held = t.bodyMemory.hold(streamBufferSize)
	read = make([]byte, 0, streamBufferSize)
	if held == nil {
		minRead = 1
		read = make([]byte, 0, t.streamBuffers.size)
	}
	until := e.holdUntil()
	for {
		inTime := true
		if len(read) > 0 {
			inTime, err = e.awaitBytes(until)
		}
		if err == nil && inTime {
			var n int
			n, err = body.Read(read[len(read):cap(read)])
			read = read[:len(read)+n]
		}
		switch {
		case err == io.EOF:
			return read, held, true, nil
		case err != nil:
			held.release()
			return nil, nil, false, err
		case len(read) >= minRead, len(read) > 0 && !time.Now().Before(until):
			return read, held, false, nil
		}
	}
}

// responseStatus returns the status that the head of a response gives its attempt. Only a 503 or 504 with
// neverRanHeader means that the backend has not run the request.
func responseStatus(resp *http.Response) balance.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.StatusSucceeded
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(neverRanHeader) == "1" {
			return balance.StatusRejected
		}
	}
	return balance.StatusApplicationError
}
