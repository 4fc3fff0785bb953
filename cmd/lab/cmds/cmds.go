package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/generator"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/layouter"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/searcher"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

const (
	// startTimeout bounds the registration of all searchers of a process, and the whole
	// run of a call command.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the shutdown of all searchers of a process.
	stopTimeout = 30 * time.Second
)

var errIncorrect = errors.New("a query failed or had a wrong answer, or an order ran more than once")

// command is a subcommand with the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("lab")
	parser.Description = "Stand-ins for the platform, backend servers and callers; for tests and the quickstart only."
	parser.DisableShowVersionWithVersion()
	commands := []command{platformCommand(), searcherCommand(), loadCommand(stdout), layoutCommand(), siteCommand(), callCommand(stdout)}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	err := parser.ParseArgs(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return int(exiter.Usage)
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		err = c.run()
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "lab:", err)
			return int(exiter.Failed)
		}
		return int(exiter.OK)
	}
	parser.ShowHelp()
	return int(exiter.Usage)
}

func newCommand(name, text, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = text
	sub.AdditionalHelpAppend = "\nExample: lab " + example
	return sub
}

func platformCommand() command {
	sub := newCommand("platform", "Serve the platform's store in memory.", "platform --listen 127.0.0.1:7000")
	address := "127.0.0.1:7000"
	sub.String(&address, "l", "listen", "Address, IP:port")
	return command{sub: sub, run: func() error { return runPlatform(address) }}
}

func runPlatform(address string) error {
	store, err := standin.ListenStore(address)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-ctx.Done()
	store.Close()
	return nil
}

func siteCommand() command {
	sub := newCommand("site", "Serve a store and backend servers, and write settings for hosts.", "site --dir /tmp/site")
	cfg := standin.SiteConfig{Dir: ".", BasePort: 17600, HostsPerDomain: 2, Domains: []string{"east", "north", "west"}, Shards: 6}
	sub.String(&cfg.Dir, "d", "dir", "Folder to write to")
	sub.Int(&cfg.BasePort, "b", "basePort", "First port of the hosts")
	sub.Int(&cfg.HostsPerDomain, "n", "hosts", "Hosts in each of three failure domains")
	sub.Int(&cfg.Shards, "s", "shards", "Shards of the query service")
	sub.String(&cfg.Limit, "l", "limit", "Requests a second that each backend server announces as its limit (default: none)")
	sub.String(&cfg.Deadly, "", "deadly", "Text in the path or query of requests that crash the backend servers which run them (default: none)")
	cut := ""
	cfg.CutAfter, cfg.CutFor = 5*time.Second, 5*time.Second
	sub.String(&cut, "c", "cut", "How hosts are cut off from all backend servers: silent, reset or refuse (default: not)")
	sub.Int(&cfg.CutHosts, "", "cutHosts", "Number of hosts that are cut off")
	sub.Duration(&cfg.CutAfter, "", "cutAfter", "Time from the start until they are cut off")
	sub.Duration(&cfg.CutFor, "", "cutFor", "Time for which they are cut off")
	return command{sub: sub, run: func() error {
		var err error
		cfg.Cut, err = standin.ParseCut(cut)
		if err != nil {
			return err
		}
		site, err := standin.StartSite(cfg)
		if err != nil {
			return err
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		<-ctx.Done()
		site.Close()
		return nil
	}}
}

func callCommand(stdout io.Writer) command {
	sub := newCommand("call", "Send queries and orders to the hosts of a site and check the answers.", "call --site /tmp/site/site.json")
	file, requests := "site.json", 200
	sub.String(&file, "s", "site", "Path of the site.json written by lab site")
	sub.Int(&requests, "r", "requests", "Number of requests to send")
	return command{sub: sub, run: func() error {
		site, err := readSettings[standin.SiteFile](file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		summary, err := standin.CallSite(ctx, site, requests)
		if err != nil {
			return err
		}
		err = summary.Print(stdout)
		if err == nil && len(summary.Failures) > 0 {
			err = standin.ErrWrongAnswers
		}
		return err
	}}
}

func searcherCommand() command {
	sub := newCommand("searcher", "Serve one or more searchers (stand-ins for backend servers).", "searcher --settings bay-console-sapporo.searchers.jsonc")
	var file string
	sub.String(&file, "s", "settings", "Settings file")
	return command{sub: sub, run: func() error { return runSearchers(file) }}
}

func readSettings[T any](file string) (T, error) {
	var zero T
	data, err := os.ReadFile(file)
	if err != nil {
		return zero, err
	}
	return decoder.Document[T](file, data)
}

func runSearchers(file string) error {
	settings, err := readSettings[layouter.SearcherSettings](file)
	if err != nil {
		return err
	}
	store := adapter.OpenStore(settings.Platform, nil)
	defer store.Close()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	members := make([]*searcher.Member, 0, len(settings.Searchers))
	for _, cfg := range settings.Searchers {
		member, err := searcher.Join(startCtx, cfg, store)
		if err != nil {
			return err
		}
		members = append(members, member)
	}
	<-ctx.Done()
	return stopAll(members, settings.Notice.Value())
}

func stopAll(members []*searcher.Member, drainPeriod time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make([]error, len(members))
	var workers sync.WaitGroup
	for i, member := range members {
		workers.Go(func() { results[i] = member.Drain(ctx, drainPeriod) })
	}
	workers.Wait()
	return errors.Join(results...)
}

func loadCommand(stdout io.Writer) command {
	sub := newCommand("load", "Send queries and orders and print a summary.", "load --settings load.jsonc")
	var file string
	sub.String(&file, "s", "settings", "Settings file")
	var queries, orders int
	var rate float64
	sub.Int(&queries, "q", "queries", "Number of queries (default: as in the settings)")
	sub.Int(&orders, "o", "orders", "Number of orders (default: as in the settings)")
	sub.Float64(&rate, "r", "rate", "Requests per second (default: as in the settings)")
	return command{sub: sub, run: func() error {
		cfg, err := readSettings[generator.Config](file)
		if err != nil {
			return err
		}
		cfg.Queries = cmp.Or(queries, cfg.Queries)
		cfg.Orders = cmp.Or(orders, cfg.Orders)
		cfg.RatePerSecond = cmp.Or(rate, cfg.RatePerSecond)
		return runLoad(cfg, stdout)
	}}
}

func runLoad(cfg generator.Config, stdout io.Writer) error {
	store := adapter.OpenStore(cfg.Platform, nil)
	defer store.Close()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	summary, err := generator.Run(ctx, cfg, store)
	if err != nil {
		return err
	}
	err = summary.Print(stdout)
	if err == nil && !summary.Passed() {
		err = errIncorrect
	}
	return err
}

func layoutCommand() command {
	sub := newCommand("layout", "Write the settings of all processes of one example organisation.", "layout --user kitanoiri --dir /tmp/kitanoiri")
	name, dir := "kitanoiri", "."
	basePort, queries, orders := 17000, 200, 20
	sub.String(&name, "u", "user", "Example organisation: kitanoiri or crumb-tier")
	sub.String(&dir, "d", "dir", "Folder to write to")
	sub.Int(&basePort, "b", "basePort", "Ports above this one are allocated to the processes")
	sub.Int(&queries, "q", "queries", "Number of queries of the load")
	sub.Int(&orders, "o", "orders", "Number of orders of the load")
	return command{sub: sub, run: func() error {
		organisation, ok := layouter.Organisations[name]
		if !ok {
			return fmt.Errorf("unknown user %q (allowed: kitanoiri, crumb-tier)", name)
		}
		return layouter.Write(layouter.Config{Organisation: organisation, Dir: dir, BasePort: basePort, Queries: queries, Orders: orders})
	}}
}
