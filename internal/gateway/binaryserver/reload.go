package binaryserver

import "cobaltpier/internal/gateway/binaryconfig"

const (
	maxReloadAttempts   = 20   // attempts to read a configuration that can't be used: it may be incomplete as yet
	reloadRetryInterval = 50.0 // ms between two
)

// reload follows the name server that a replaced configuration names. One that can't be used changes nothing, and is
// read again soon, since whoever replaces the file may not be done.
func (s *Server) reload() {
	s.reloadAttemptsLeft--
	s.nextReloadAt = s.now() + reloadRetryInterval
	config, err := binaryconfig.Load(s.configPath)
	if err != nil {
		if s.reloadAttemptsLeft == 0 {
			s.log.Error().Err(err).Msg("new configuration not used")
		}
		return
	}
	s.reloadAttemptsLeft = 0
	if config.Nameserver != s.discovery.Server {
		s.discovery.SetServer(config.Nameserver)
	}
	s.log.Info().Str("nameserver", config.Nameserver.String()).Msg("new configuration")
}
