package cmds

import (
	"context"
	"errors"
	stdlog "log"
	"os"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/forwarder"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/reloader"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/merger"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

const (
	// settingsPathVariable is the environment variable with the path of the
	// settings file, used without --settings.
	settingsPathVariable = "RHUBARBPOST_BOOT"
	// gcPercent is below the default of 100: memory is scarce on the hosts, so
	// more CPU time is spent on garbage collection to keep the heap small.
	gcPercent = 40
	// memoryLimitShare is the fraction of a host's memory from which on garbage is collected
	// more often; the rest is for stacks and for what the kernel holds.
	memoryLimitShare = 0.8
)

// addHost adds the command that serves callers on the prepared platform.
func (t *commandTree) addHost() {
	sub := flaggy.NewSubcommand("host")
	sub.Description = "Serve callers on the prepared platform: one process per host."
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost host --settings host.jsonc"
	file := os.Getenv(settingsPathVariable)
	sub.String(&file, "s", "settings", "Settings file, JSON with comments (default: the path in "+settingsPathVariable+")")
	var configApply, drain time.Duration
	sub.Duration(&configApply, "", "configApply", "Time within which an accepted configuration has to be in force (default: from the settings, else "+forwarder.DefaultBound.String()+")")
	sub.Duration(&drain, "", "drain", "Time within which a draining backend server gets no more requests (default: likewise)")
	t.attach(nil, sub, func() error {
		if file == "" {
			return &exitError{code: exiter.Usage, cause: errors.New("--settings is required")}
		}
		return t.runHost(file, configApply, drain)
	})
}

// runHost serves with the settings of a file; bounds that are not 0 go before those of the file.
func (t *commandTree) runHost(file string, configApply, drain time.Duration) error {
	signals := exiter.Notify()
	content, err := os.ReadFile(file)
	if err != nil {
		return &exitError{code: exiter.Invalid, cause: err}
	}
	settings, err := forwarder.ParseSettings(file, content)
	if err != nil {
		return &exitError{code: exiter.Invalid, cause: err}
	}
	settings, err = settings.WithBounds(configApply, drain)
	if err != nil {
		return &exitError{code: exiter.Invalid, cause: err}
	}
	debug.SetGCPercent(gcPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * settings.Memory * (1 << 20)))
	}
	limiter := logger.NewLimiter(t.stdout, settings.Log.BytesPerSecond)
	defer limiter.Close()
	cfg := settings.Log.Config
	cfg.Process, cfg.Host = "host", settings.Name
	log := logger.New(limiter, cfg)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.Output(logger.LibraryLogged))
	log.Info(logger.ProcessStarted, "version", version(), "domain", settings.Domain, "listen", settings.Listen.Callers, "store", settings.Store)
	f, err := forwarder.New(forwarder.Config{
		Settings: settings, OpenStore: func(address string, observe func(uint64)) forwarder.Store { return adapter.OpenStore(address, observe) }, Layout: adapter.Layout(), Dialect: adapter.Dialect{},
		Documents: adapter.Documents{}, Merger: merger.New(adapter.RecordCodec{}), Logger: log,
		LinesDropped: limiter.Dropped,
	})
	if err != nil {
		var listenErr *listener.ListenError
		if errors.As(err, &listenErr) {
			log.Error(logger.ListenFailed, "error", err)
			return &exitError{code: exiter.PortInUse, cause: err}
		}
		return err
	}
	reloader.Watch(signals.Stopped, reloader.Config{File: file, Content: content, Hangups: signals.Hangups, Changed: func(data []byte, err error) {
		var next forwarder.Settings
		if err == nil {
			next, err = forwarder.ParseSettings(file, data)
		}
		if err != nil {
			log.Error(logger.SettingsRejected, "error", err)
			return
		}
		f.Reload(next)
	}})
	go logHangups(signals, log)
	return stopGracefully(f.Stop, signals.StoppedAgain)
}

// logHangups logs each SIGHUP that has no effect, until the process ends.
func logHangups(signals exiter.Signals, log *logger.Logger) {
	for range signals.Hangups {
		log.Info(logger.HangupIgnored)
	}
}

// stopGracefully calls stop, which drains requests until its context ends; a
// second signal cancels the context and so ends the draining.
func stopGracefully(stop func(context.Context) error, secondSignal <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-secondSignal:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := stop(ctx)
	if err != nil {
		return &exitError{code: exiter.Aborted, cause: err}
	}
	return nil
}
