// Package edgecli is the command line of cobalt-edge, which the laboratory starts too.
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

// ErrForced says that a second signal ended the gateway with calls still held.
var ErrForced = errors.New("ended at once: contacts that were held have no answer")

// New is the command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "cobalt-edge",
		Short: "A gateway: takes calls by SIP and sets them up over trunk groups",
		Long: `cobalt-edge takes calls by SIP over UDP, asks the decision module about each, and sets it up at a
core switch over a trunk group. The pool list tells it of the switches; answers of the switches tell
it of their load.

Signals: SIGTERM or SIGINT drains (no new contact, all held ones answered, status 0); a second one
ends it at once (status 1).`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newCheckCommand(), newPlatformCommand(), numbercli.New())
	return root
}

func newRunCommand() *cobra.Command {
	var config, module, profile string
	c := &cobra.Command{Use: "run", Short: "Run a gateway until it is told to drain", Args: cobra.NoArgs,
		Example: "  cobalt-edge run --config edge.hcl",
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := gatewayconfig.Load(config)
			if err != nil {
				return err
			}
			mk := func(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) }
			if module != "brain" {
				if mk = baseline.ByName(module); mk == nil {
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
			level, _ := zerolog.ParseLevel(set.LogLevel)
			w := cmd.ErrOrStderr()
			if set.LogConsole {
				w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
			}
			// a reader of the log that is slow loses lines; the loop goes on
			d := diode.NewWriter(unclosableWriter{w}, 4096, 10*time.Millisecond, nil)
			defer d.Close()
			log := zerolog.New(d).Level(level).With().Timestamp().Str("gateway", set.Name).Logger()
			signals, stop := make(chan os.Signal, 4), make(chan struct{}, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			go func() {
				for range signals {
					stop <- struct{}{}
				}
			}()
			out, err := sipserver.Run(cmd.Context(), set, mk, log, stop)
			if err == nil && out == sipserver.Forced {
				err = ErrForced
			}
			return err
		}}
	c.Flags().StringVarP(&config, "config", "c", "edge.hcl", "the settings")
	c.Flags().StringVar(&module, "module", "brain", "what decides: brain, or the baselines lottery and random")
	c.Flags().StringVar(&profile, "profile", "", "write a CPU profile to this file")
	return c
}

// unclosableWriter hides that a writer can be closed: the log's end would else close standard error, and with it why the gateway
// ended.
type unclosableWriter struct{ io.Writer }

// gcPercent is the collector's percentage where GOGC sets none: a gateway holds little and makes much garbage, and the
// collector's passes are what adds to its slowest answers.
const gcPercent = 400

func newCheckCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file and say what is wrong with it, with file and line",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := gatewayconfig.Load(config)
			if err == nil {
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"%s: gateway %s on %s, %d groups, %d skills: fine\n",
					config,
					s.Name,
					s.Address,
					len(s.Groups),
					len(s.Settings.Classes),
				)
			}
			return err
		},
	}
	c.Flags().StringVarP(&config, "config", "c", "edge.hcl", "the settings")
	return c
}
