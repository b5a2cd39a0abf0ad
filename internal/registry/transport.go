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

// streamLayer is the TCP stream layer of raft's transport. It accepts connections on a listener that the caller has
// opened. It implements raft.StreamLayer.
type streamLayer struct {
	net.Listener
	localAddr  net.Addr // the address from which peers are dialed; nil: the system chooses
	advertised net.Addr // the address that peers dial
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

// Addr implements net.Listener. It returns the address that peers dial, which may differ from the listener's.
func (s streamLayer) Addr() net.Addr { return s.advertised }

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: s.localAddr}
	return dialer.Dial("tcp", string(addr))
}

// raftLogWriter writes raft's log lines, which are JSON, to the replica's logger. Each line becomes one record of level
// Warn.
type raftLogWriter struct{ log *slog.Logger }

func (w raftLogWriter) Write(line []byte) (int, error) {
	w.log.Warn("raft logged a warning or an error", "line", json.RawMessage(bytes.TrimSpace(line)))
	return len(line), nil
}
