package binaryserver

import (
	"errors"
	"net/netip"

	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/dnsdiscovery"
)

// handleEvent passes a queued event to the gateway.
func (s *Server) handleEvent(now float64, e event) {
	switch e.kind {
	case accepted:
		if conn := s.gateway.OnAccepted(now, e.stream, e.from.Addr()); conn != nil {
			e.stream.User = conn
		}
		return
	case datagram:
		s.handleDatagram(now, e)
		return
	}
	conn, ok := e.stream.User.(*binarygateway.Conn)
	if !ok {
		return // the gateway closed the connection when it was accepted
	}
	switch e.kind {
	case connected:
		s.gateway.OnConnected(now, conn)
	case received:
		s.gateway.OnData(now, conn, e.data)
	case flushed:
		if e.stream.IsFlushed() {
			s.gateway.OnFlushed(now, conn)
		}
	case closed:
		s.log.Debug().AnErr("cause", e.err).Msg("connection closed")
		s.gateway.OnClosed(now, conn, closeReason(e.err))
	}
}

// closeReason returns the reason that the gateway gets for the error that closed a connection.
func closeReason(err error) binarygateway.CloseReason {
	switch {
	case reactor.IsRefused(err):
		return binarygateway.ClosedRefused
	case reactor.IsReset(err):
		return binarygateway.ClosedReset
	}
	return binarygateway.ClosedNormally
}

// handleDatagram handles a response of the name server or a message of another gateway.
func (s *Server) handleDatagram(now float64, e event) {
	if e.local == s.queryAddr {
		s.handleDiscoveryResponse(now, e)
		return
	}
	for i, peer := range s.config.Peers {
		if peer == e.from {
			s.gateway.OnPeerMessage(now, i, e.data)
		}
	}
}

// handleDiscoveryResponse passes an endpoint list that is new to the gateway.
func (s *Server) handleDiscoveryResponse(now float64, e event) {
	list, err := s.discovery.HandleResponse(e.from, e.data)
	if err != nil && !errors.Is(err, dnsdiscovery.ErrOutdated) {
		s.log.Debug().Err(err).Msg("discovery response ignored")
	}
	if err != nil || list == nil {
		return
	}
	s.log.Debug().Uint32("list_serial", list.Serial).Int("endpoints", len(list.Entries)).Msg("new endpoint list")
	s.gateway.OnEndpointList(now, list)
}

// Accepted implements reactor.Handler.
func (s *Server) Accepted(stream *reactor.Stream, from netip.Addr) {
	s.events.push(event{kind: accepted, stream: stream, from: netip.AddrPortFrom(from, 0)})
}

// Connected implements reactor.Handler.
func (s *Server) Connected(stream *reactor.Stream) {
	s.events.push(event{kind: connected, stream: stream})
}

// Data implements reactor.Handler.
func (s *Server) Data(stream *reactor.Stream, data []byte) {
	s.events.push(event{kind: received, stream: stream, data: append([]byte(nil), data...)})
}

// Flushed implements reactor.Handler.
func (s *Server) Flushed(stream *reactor.Stream) { s.events.push(event{kind: flushed, stream: stream}) }

// Closed implements reactor.Handler.
func (s *Server) Closed(stream *reactor.Stream, err error) {
	s.events.push(event{kind: closed, stream: stream, err: err})
}

// Write implements binarygateway.Transport.
func (s *Server) Write(conn *binarygateway.Conn, data []byte) bool {
	return conn.Socket.(*reactor.Stream).Write(data)
}

// Dial implements binarygateway.Transport.
func (s *Server) Dial(conn *binarygateway.Conn, to netip.AddrPort) {
	stream := &reactor.Stream{User: conn}
	conn.Socket = stream
	s.streams.Dial(stream, to)
}

// Close implements binarygateway.Transport.
func (s *Server) Close(conn *binarygateway.Conn) { conn.Socket.(*reactor.Stream).Close() }

// CloseWrite implements binarygateway.Transport.
func (s *Server) CloseWrite(conn *binarygateway.Conn) { conn.Socket.(*reactor.Stream).CloseWrite() }

// SendGossip implements binarygateway.Transport.
func (s *Server) SendGossip(gateway int, message []byte) {
	known := gateway < len(s.config.Peers) && s.config.PeerListen.IsValid()
	if known && len(message) <= binarygateway.MaxGossipSize {
		s.datagrams.Send(s.config.PeerListen, s.config.Peers[gateway], message)
	}
}
