package binaryserver

import "cobaltpier/internal/gateway/binaryconfig"

const (
	maxReloadAttempts   = 20   // attempts to read a configuration that is invalid: it may still be being written
	reloadRetryInterval = 50.0 // ms between two attempts
)

// reload reads the configuration file again and switches to the name server that it names. An invalid file changes
// nothing and is read again after reloadRetryInterval, because it may still be being written.
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
