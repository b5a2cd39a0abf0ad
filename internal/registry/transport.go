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

// streamLayer is raft's TCP stream layer over a listener that the caller has opened. It implements raft.StreamLayer.
type streamLayer struct {
	net.Listener
	localAddr  net.Addr // that peers are dialled from; nil: the system chooses
	advertised net.Addr // that peers dial
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

// Addr returns the address that peers dial.
func (s streamLayer) Addr() net.Addr { return s.advertised }

// Dial is part of raft.StreamLayer.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: s.localAddr}
	return dialer.Dial("tcp", string(addr))
}

// raftLogWriter passes raft's own log lines, which are JSON, to the replica's logger, one record a line.
type raftLogWriter struct{ log *slog.Logger }

func (w raftLogWriter) Write(line []byte) (int, error) {
	w.log.Warn("raft", "line", json.RawMessage(bytes.TrimSpace(line)))
	return len(line), nil
}
