package registry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/raft"
)

// This file connects raft to its peers and to the log.

// streamLayer is raft's TCP stream layer over a listener that the caller opened (so a test may use port 0).
type streamLayer struct {
	net.Listener
	localAddr  net.Addr // what peers are dialled from; nil: the system picks
	advertised net.Addr // what peers dial
}

func newStreamLayer(cfg Config, ln net.Listener) streamLayer {
	s := streamLayer{Listener: ln, advertised: ln.Addr()}
	if host, err := netip.ParseAddr(cfg.RaftDialHost); err == nil {
		s.localAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, 0))
	}
	if addr, err := netip.ParseAddrPort(cfg.RaftAddr); err == nil && cfg.RaftListenAddr != "" {
		s.advertised = net.TCPAddrFromAddrPort(addr)
	}
	return s
}

func (s streamLayer) Addr() net.Addr { return s.advertised }

func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: s.localAddr}).Dial("tcp", string(addr))
}

// raftLog passes raft's own lines (hclog, JSON) into the replica's logger, one record a line.
type raftLogWriter struct{ log *slog.Logger }

func (w raftLogWriter) Write(p []byte) (int, error) {
	w.log.Warn("raft", "line", json.RawMessage(bytes.TrimSpace(p)))
	return len(p), nil
}
