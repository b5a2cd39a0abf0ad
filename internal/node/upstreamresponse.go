package node

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"hitchvale/balance"
)

// readResponse reads an answer. One that is large or long in coming is left to be streamed. The connection goes back to the
// pool, or is ended, when the answer is whole.
func (x *upstreamTransport) readResponse(cn *backendConn, m *forwardedRequest, stop func() bool) (attemptResult, error) {
	resp, err := cn.readResponseHead(m.method)
	if err != nil {
		return attemptResult{}, err
	}
	r := attemptResult{status: responseStatus(resp), contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get(loadReportHeader); text != "" && x.inlineLoadReports {
		r.load = x.readLoadReport(text)
	}
	// What ends with its connection is whole if the other side says so by an orderly end: a reset is none.
	delimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	done := func(whole bool) {
		if whole && cn.reader.Buffered() > 0 {
			x.pool.startQuarantine()
		}
		if !whole || resp.Close || delimited || cn.reader.Buffered() > 0 || m.upload != nil {
			x.pool.discard(cn)
			return
		}
		cn.SetDeadline(time.Time{})
		x.pool.release(cn)
	}
	body, ended, err := x.readBody(resp, !m.healthCheck && r.status == balance.StatusSucceeded)
	switch {
	case err != nil:
		return attemptResult{}, err
	case ended && !stop():
		x.pool.discard(cn)
	case ended:
		done(true)
	case !stop():
		return attemptResult{}, context.Canceled
	default:
		cn.limit.N = math.MaxInt64
		r.stream = &stream{head: body, size: resp.ContentLength, body: resp.Body, cn: cn, end: done}
		return r, nil
	}
	r.body = body
	return r, nil
}

// readBody reads an answer's body, if it can be kept whole, and otherwise what has come of it. One that serves nobody has to
// be short.
func (x *upstreamTransport) readBody(resp *http.Response, served bool) (body []byte, ended bool, err error) {
	size := resp.ContentLength
	switch {
	case !served && size > maxBodyBytes:
		return nil, false, errTooLong
	case !served:
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
		if err == nil && len(body) > maxBodyBytes {
			err = errTooLong
		}
		return body, true, err
	case size > maxBodyBytes || size > 0 && !x.bodyMemory.take(size):
		// Nothing is passed on before some of the body is there: until then a failure can still be answered.
		body = make([]byte, pieceSize)
		n, err := io.ReadAtLeast(resp.Body, body, 1)
		return body[:n], false, err
	case size >= 0:
		defer x.bodyMemory.give(size)
		body = make([]byte, size)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Its length is not told. What has not been passed on can still be answered otherwise, if it breaks off or never ends: so
	// it is kept until it ends or its time does, up to a piece, or less where there is no room.
	most := pieceSize
	if x.bodyMemory.take(pieceSize) {
		defer x.bodyMemory.give(pieceSize)
	} else {
		most = 1
	}
	for buf := make([]byte, 0, pieceSize); ; {
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, true, nil
		case err != nil:
			return nil, false, err
		case len(buf) >= most:
			return buf, false, nil
		}
	}
}

// outcome reads a whole answer's status.
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

// answer reads the head of an answer.
func (c *backendConn) readResponseHead(method string) (*http.Response, error) {
	c.limit.N = maxResponseBytes
	req := &http.Request{Method: method}
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx answers")
}
