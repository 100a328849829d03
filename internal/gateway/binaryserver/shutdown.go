package binaryserver

import (
	"math"

	"cobaltpier/internal/decision/shutdown"
)

// handleSignal reloads the configuration or begins a graceful shutdown. Further shutdown signals have no effect.
func (s *Server) handleSignal(signal Signal) {
	switch {
	case signal == Reload:
		s.reloadAttemptsLeft = maxReloadAttempts
		s.reload()
	case s.stage == shutdown.Serving:
		s.log.Info().Msg("graceful shutdown begins")
		s.gateway.BeginDrain()
		s.stage, s.shutdownRequestedAt, s.stageEnteredAt = shutdown.AdmittingCalls, s.now(), s.now()
	}
}

// advanceShutdown enters the next stage of a graceful shutdown if it is due.
func (s *Server) advanceShutdown(now float64) {
	if s.stage == shutdown.Serving {
		return
	}
	status := s.shutdownStatus(now)
	next := s.stage.Next(status)
	if next == s.stage {
		return
	}
	s.log.Debug().Int("stage", int(next)).Interface("status", status).Msg("shutdown stage")
	s.stage, s.stageEnteredAt = next, now
	switch next {
	case shutdown.Rejecting:
		s.gateway.StopAdmitting()
	case shutdown.Flushing:
		s.streams.StopAccepting()
		s.gateway.RejectAll(now)
	case shutdown.HalfClosing:
		s.gateway.CloseClientWrites()
	}
}

func (s *Server) shutdownStatus(now float64) shutdown.Status {
	pending, _ := s.gateway.InProgress()
	unsent, open := s.gateway.ClientConns()
	status := shutdown.Status{
		SinceSignal:      now - s.shutdownRequestedAt,
		InStage:          now - s.stageEnteredAt,
		PendingCalls:     pending,
		EstablishedCalls: s.gateway.EstablishedCalls(),
		Listening:        s.streams.Accepting(),
		UnsentConns:      unsent,
		OpenConns:        open,
	}
	for _, class := range s.config.Settings.Classes {
		status.MaxTimeout = math.Max(status.MaxTimeout, class.Timeout)
	}
	return status
}
