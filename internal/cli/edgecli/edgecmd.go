// Package edgecli is the command line of cobalt-edge. cobalt-lab runs it too.
package edgecli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"cobaltpier/internal/cli/numbercli"
	"cobaltpier/internal/emulator/baseline"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/gateway/sipserver"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// ErrForced is returned when a second signal ended the gateway while calls were pending.
var ErrForced = errors.New("stopped by a second signal: pending calls have no final answer")

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "cobalt-edge",
		Short: "Run a SIP gateway that sets up calls over trunk groups",
		Long: `cobalt-edge takes calls by SIP over UDP, lets the routing policy choose a core switch for each, and
sets it up there over a trunk group. The endpoint list names the switches; their answers report
their load.

Signals: SIGTERM or SIGINT drains the gateway (no new calls, all pending ones answered, exit status 0); a
second one stops it at once (exit status 1).`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newCheckCommand(), newPlatformCommand(), numbercli.New())
	return root
}

func newRunCommand() *cobra.Command {
	var configPath, module, profile string
	c := &cobra.Command{Use: "run", Short: "Run a gateway until a signal makes it drain", Args: cobra.NoArgs,
		Example: "  cobalt-edge run --config edge.hcl",
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := gatewayconfig.Load(configPath)
			if err != nil {
				return err
			}
			newPolicy := func(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) }
			if module != "brain" {
				if newPolicy = baseline.ByName(module); newPolicy == nil {
					return fmt.Errorf("module %q: want brain, lottery or random", module)
				}
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return fmt.Errorf("profile: %w", err)
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return fmt.Errorf("profile: %w", err)
				}
				defer pprof.StopCPUProfile()
			}
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(gcPercent)
			}
			level, _ := zerolog.ParseLevel(config.LogLevel)
			w := cmd.ErrOrStderr()
			if config.LogConsole {
				w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
			}
			// a slow reader of the log loses lines, so that the event loop never blocks
			d := diode.NewWriter(unclosableWriter{w}, 4096, 10*time.Millisecond, nil)
			defer d.Close()
			log := zerolog.New(d).Level(level).With().Timestamp().Str("gateway", config.Name).Logger()
			signals, stop := make(chan os.Signal, 4), make(chan struct{}, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			go func() {
				for range signals {
					stop <- struct{}{}
				}
			}()
			outcome, err := sipserver.Run(cmd.Context(), config, newPolicy, log, stop)
			if err == nil && outcome == sipserver.Forced {
				err = ErrForced
			}
			return err
		}}
	c.Flags().StringVarP(&configPath, "config", "c", "edge.hcl", "the configuration file")
	c.Flags().StringVar(&module, "module", "brain", "routing policy: brain, or the baselines lottery and random")
	c.Flags().StringVar(&profile, "profile", "", "write a CPU profile to this file")
	return c
}

// unclosableWriter hides the Close method of a writer: closing the log would otherwise close standard error, and the
// error that ended the gateway could not be printed.
type unclosableWriter struct{ io.Writer }

// gcPercent is the garbage collector's target percentage if GOGC is not set: a gateway has a small heap and allocates
// much, and collections add to its slowest answers.
const gcPercent = 400

func newCheckCommand() *cobra.Command {
	var configPath string
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a configuration file and report errors with file and line",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := gatewayconfig.Load(configPath)
			if err == nil {
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"%s: gateway %s on %s, %d groups, %d skills: fine\n",
					configPath,
					s.Name,
					s.Address,
					len(s.Groups),
					len(s.Settings.Classes),
				)
			}
			return err
		},
	}
	c.Flags().StringVarP(&configPath, "config", "c", "edge.hcl", "the configuration file")
	return c
}
