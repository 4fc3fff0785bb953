package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/controller"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/presenter"
	"github.com/rhubarbpost/rhubarbpost/internal/receiver"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gossiper"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

// stopTimeout bounds the wait for requests in flight when an agent or the console stops.
const stopTimeout = 5 * time.Second

// process holds the settings, logger and stop signals of a long-running command.
type process struct {
	file     string
	settings loader.Settings
	log      *logger.Logger
	signals  exiter.Signals
}

// addProcess adds a long-running command with the flags that entry, agent and console share.
func (t *commandTree) addProcess(name, text string, run func(process) error) {
	sub := flaggy.NewSubcommand(name)
	sub.Description = text
	sub.AdditionalHelpAppend = fmt.Sprintf("\nExample: rhubarbpost %s --settings sapporo-1.jsonc --logLevel debug", name)
	var file string
	var o loader.Overrides
	sub.String(&file, "s", "settings", "Settings file, JSON with comments (required)")
	sub.String(&o.Name, "", "name", "Name of the host")
	sub.String(&o.Domain, "", "domain", "Failure domain of the host")
	sub.String(&o.Listen, "", "listen", "Address for callers or operators, IP:port")
	sub.String(&o.Control, "", "control", "Address for the agents, entries and console of this system, IP:port")
	sub.String(&o.Platform, "", "platform", "Address of the platform, IP:port")
	sub.String(&o.LogLevel, "", "logLevel", "debug, info, warn or error")
	sub.String(&o.LogFormat, "", "logFormat", "text or json")
	t.attach(nil, sub, func() error {
		return runProcess(name, file, o, t.stderr, run)
	})
}

func runProcess(name, file string, overrides loader.Overrides, logs io.Writer, run func(process) error) error {
	if file == "" {
		return &exitError{code: exiter.Usage, cause: errors.New("--settings is required")}
	}
	signals := exiter.Notify()
	settings, err := loader.Load(file, overrides)
	if err != nil {
		return &exitError{code: exiter.Invalid, cause: err}
	}
	cfg := settings.Log
	cfg.Process, cfg.Host = name, settings.Name
	log := logger.New(logs, cfg)
	go logHangups(signals, log)
	log.Info(logger.ProcessStarted, "domain", settings.Domain, "listen", settings.Listen, "control", settings.Control)
	return run(process{file: file, settings: settings, log: log, signals: signals})
}

// listenError logs that a listener could not be opened, and returns the error
// with its exit code and the position of the address in the settings file.
func (p process) listenError(err error) error {
	var listenErr *listener.ListenError
	if errors.As(err, &listenErr) {
		err = loader.AddressError(p.file, p.settings, listenErr.Address, err)
	}
	p.log.Error(logger.ListenFailed, "error", err)
	return &exitError{code: exiter.PortInUse, cause: err}
}

func runEntry(p process) error {
	store := adapter.OpenStore(p.settings.Platform, nil)
	defer store.Close()
	r, err := receiver.New(receiver.Config{Settings: p.settings, Store: store, Logger: p.log})
	if err != nil {
		return p.listenError(err)
	}
	<-p.signals.Stopped
	return stopGracefully(r.Stop, p.signals.StoppedAgain)
}

func runAgent(p process) error {
	store := adapter.OpenStore(p.settings.Platform, nil)
	defer store.Close()
	client := connector.NewClient()
	c := controller.New(controller.Config{
		Self:  gossiper.Host{Name: p.settings.Name, Domain: p.settings.Domain},
		Peers: agentPeers(p.settings), Store: store, Keys: p.settings.Keys,
		Client: client, Logger: p.log, Seed: uint64(time.Now().UnixNano()),
	})
	mux := http.NewServeMux()
	mux.Handle(c.Handler())
	mux.HandleFunc("GET /metrics", c.ServeMetrics)
	l, err := listener.New(listener.Config{Address: p.settings.Control, Handler: mux, Streaming: true})
	if err != nil {
		c.Close()
		return p.listenError(err)
	}
	<-p.signals.Stopped
	p.log.Info(logger.StopBegun)
	// Closing the controller ends its streams, which the listener would
	// otherwise wait for.
	c.Close()
	return p.shutdown(l)
}

func agentPeers(settings loader.Settings) []controller.Peer {
	peers := make([]controller.Peer, 0, len(settings.Hosts))
	for _, host := range settings.Hosts {
		if host.Name == settings.Name {
			continue
		}
		peers = append(peers, controller.Peer{
			Host:    gossiper.Host{Name: host.Name, Domain: host.Domain},
			Address: host.Agent,
		})
	}
	return peers
}

// shutdown waits for the requests in flight of a listener and closes it. After
// stopTimeout or at a second signal it aborts the requests that remain.
func (p process) shutdown(l *listener.Listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case <-p.signals.StoppedAgain:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := l.Shutdown(ctx)
	interrupted := l.InFlight()
	_ = l.Close()
	if err != nil && interrupted > 0 {
		p.log.Error(logger.StopForced, "cutOff", interrupted)
		return &exitError{code: exiter.Aborted, cause: fmt.Errorf("%d requests in flight were aborted by the stop", interrupted)}
	}
	p.log.Info(logger.StopEnded)
	return nil
}

func runConsole(p process) error {
	store := adapter.OpenStore(p.settings.Platform, nil)
	defer store.Close()
	handler, err := presenter.New(presenter.Config{
		Applier: applier.New(store), Settings: p.settings, Client: connector.NewClient(), Logger: p.log,
	})
	if err != nil {
		return err
	}
	l, err := listener.New(listener.Config{Address: p.settings.Listen, Handler: handler})
	if err != nil {
		return p.listenError(err)
	}
	p.log.Info(logger.ProcessReady)
	<-p.signals.Stopped
	p.log.Info(logger.StopBegun)
	return p.shutdown(l)
}
