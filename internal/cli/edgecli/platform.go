package edgecli

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/gateway/binaryserver"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// configVar is the environment variable with the name of the configuration file that the platform provides.
const configVar = "NODE_CONFIG"

func newPlatformCommand() *cobra.Command {
	var level string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a gateway on the platform with the configuration file that " + configVar + " names",
		Args:  cobra.NoArgs,
		Long: `Runs a gateway that speaks the platform's protocol, on the address and within the limits of its
configuration. It opens no SIP, ENUM or gRPC sockets.

Signals: SIGHUP reads the configuration again and switches to the name server that it names;
SIGTERM takes calls for a while longer, answers all pending ones, and exits.`,
		Example: "  NODE_CONFIG=/run/balancer/config.json cobalt-edge platform",
		RunE: func(cmd *cobra.Command, _ []string) error {
			configPath := os.Getenv(configVar)
			if configPath == "" {
				return errors.New(configVar + ": want the name of the configuration file, got none")
			}
			cfg, err := binaryconfig.Load(configPath)
			if err != nil {
				return err
			}
			l, err := zerolog.ParseLevel(level)
			if err != nil {
				return fmt.Errorf("log-level: want trace, debug, info, warn or error, got %q", level)
			}
			runtime.GOMAXPROCS(1)
			if n := binaryserver.MemoryLimit(cfg.Limits); n > 0 {
				debug.SetMemoryLimit(n)
			}
			lines := 256 // that are buffered for a slow reader of the log; further ones are lost
			if l <= zerolog.DebugLevel {
				lines = 1 << 16
			}
			d := diode.NewWriter(unclosableWriter{cmd.ErrOrStderr()}, lines, 10*time.Millisecond, nil)
			defer d.Close()
			log := zerolog.New(d).Level(l).With().Timestamp().Str("gateway", cfg.Name).Logger()
			signals, requests := make(chan os.Signal, 8), make(chan binaryserver.Signal, 8)
			signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			go func() {
				for s := range signals {
					if s == syscall.SIGHUP {
						requests <- binaryserver.Reload
					} else {
						requests <- binaryserver.Shutdown
					}
				}
			}()
			return binaryserver.Run(
				cmd.Context(),
				configPath,
				cfg,
				func(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) },
				log,
				requests,
			)
		},
	}
	c.Flags().StringVar(&level, "log-level", "info", "trace (each message), debug, info, warn or error")
	return c
}
