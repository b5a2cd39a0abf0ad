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
	// neverRanHeader is set to 1 on a backend's response to a request that it has not run.
	neverRanHeader = "X-Never-Ran"
	// maxInformational is how many 1xx responses may precede the final one.
	maxInformational = 8
	// maxResponseBytes bounds a response as it comes over the connection: small chunks take several times their body.
	maxResponseBytes = maxHeadBytes + 4*maxBodyBytes
)

// readResponse reads a response. One that is large or long in coming is read in part, and the rest is left to be
// streamed. The connection is given back, or closed, when all of the response has been read. After an error the
// caller discards it.
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
	body, complete, err := e.transport.readBody(resp, mayStream)
	if err != nil {
		return attemptResult{}, err
	}
	detached := e.detach()
	switch {
	case complete && detached:
		e.finishResponse(resp, true)
	case complete:
		e.transport.pool.Discard(e.conn)
	case !detached:
		return attemptResult{}, context.Canceled
	default:
		e.conn.UnlimitRead()
		result.stream = &responseStream{
			buffered: body,
			size:     resp.ContentLength,
			body:     resp.Body,
			backend:  e.conn,
			release:  func(complete bool) { e.finishResponse(resp, complete) },
		}
		return result, nil
	}
	result.body = body
	return result, nil
}

// readResponseHead reads the head of the response to a request, past any 1xx responses. At most maxResponseBytes can
// be read of the response.
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
	return nil, errors.New("too many 1xx responses")
}

// finishResponse gives the connection back to the pool if it can carry another request, and otherwise closes it. A
// backend that sends more than its response starts the pool's quarantine.
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

// readBody reads the body of a response, completely if it may be held in memory. Of one that may be streamed it
// returns at least the first byte: until something has been passed on, a failure can still be answered in another
// way. One that may not be streamed has to be short.
func (t *upstreamTransport) readBody(resp *http.Response, mayStream bool) (body []byte, complete bool, err error) {
	size := resp.ContentLength
	switch {
	case !mayStream:
		body, err = readShortBody(resp)
		return body, err == nil, err
	case size > maxBodyBytes || size > 0 && !t.bodyMemory.tryAcquire(size):
		body = make([]byte, streamBufferSize)
		n, err := io.ReadAtLeast(resp.Body, body, 1)
		return body[:n], false, err
	case size >= 0:
		defer t.bodyMemory.release(size)
		body = make([]byte, size)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	return t.readUnsizedBody(resp.Body)
}

// readShortBody reads a body of at most maxBodyBytes.
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

// readUnsizedBody reads a body whose length is not given: up to its end or pieceSize, or what comes first where
// memory for bodies is short. What has not been passed on can be answered in another way, if the response breaks off
// or never ends.
func (t *upstreamTransport) readUnsizedBody(body io.Reader) (read []byte, complete bool, err error) {
	enough := streamBufferSize
	if t.bodyMemory.tryAcquire(streamBufferSize) {
		defer t.bodyMemory.release(streamBufferSize)
	} else {
		enough = 1
	}
	read = make([]byte, 0, streamBufferSize)
	for {
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case err == io.EOF:
			return read, true, nil
		case err != nil:
			return nil, false, err
		case len(read) >= enough:
			return read, false, nil
		}
	}
}

// responseStatus returns the status of a complete response. Only a 503 or 504 with neverRanHeader says that the
// request was not run.
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
