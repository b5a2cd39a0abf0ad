package node

import (
	"context"
	"sync"
	"time"
)

// clientCheckInterval is how often the node checks the connection of a client whose body is streamed for a last byte
// that it has not read, and for the client's close.
const clientCheckInterval = 20 * time.Millisecond

// uploadWatcher watches the connections of clients whose bodies are being streamed; the HTTP server watches a
// connection only once the body has been read. Without the watcher, the node would learn neither of the last byte nor
// of a close while the backend does not take the bytes that it has read. One goroutine watches all connections, and
// runs only while there are any. The zero value is ready to use. An uploadWatcher is safe for concurrent use.
type uploadWatcher struct {
	mu      sync.Mutex
	running bool
	uploads map[*requestStream]context.CancelFunc // called if the client has closed the connection
}

// watch watches the client's connection until the body has been read or stop is called. It checks for the arrival of
// the last byte, and it cancels the returned context if the client has closed the connection. The caller must call
// stop.
func (w *uploadWatcher) watch(
	ctx context.Context, upload *requestStream,
) (clientCtx context.Context, stop context.CancelFunc) {
	clientCtx, cancel := context.WithCancel(ctx)
	if upload.arrival.conn == nil {
		return clientCtx, cancel
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.uploads == nil {
		w.uploads = map[*requestStream]context.CancelFunc{}
	}
	w.uploads[upload] = cancel
	if !w.running {
		w.running = true
		go w.run()
	}
	return clientCtx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.uploads, upload)
	}
}

// run checks all connections at each interval, until there are none.
func (w *uploadWatcher) run() {
	ticker := time.NewTicker(clientCheckInterval)
	defer ticker.Stop()
	var uploads []watchedUpload
	for {
		<-ticker.C
		uploads = w.appendUploads(uploads[:0])
		if len(uploads) == 0 {
			return
		}
		for _, watched := range uploads {
			watched.check()
		}
		clear(uploads)
	}
}

// watchedUpload is an upload and the function that ends it if its client has closed the connection.
type watchedUpload struct {
	upload *requestStream
	cancel context.CancelFunc
}

// appendUploads appends the watched uploads. Without any, the goroutine that checks them has to end.
func (w *uploadWatcher) appendUploads(uploads []watchedUpload) []watchedUpload {
	w.mu.Lock()
	defer w.mu.Unlock()
	for upload, cancel := range w.uploads {
		uploads = append(uploads, watchedUpload{upload, cancel})
	}
	w.running = len(uploads) > 0
	return uploads
}

// check checks the upload's connection, unless its body has been read.
func (w watchedUpload) check() {
	if w.upload.complete.Load() {
		return
	}
	w.upload.arrival.check()
	if w.upload.arrival.conn.peerHasClosed() {
		w.cancel()
	}
}
