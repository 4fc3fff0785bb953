package presenter

import (
	"embed"
	"html/template"
	"net"
	"net/http"
	"slices"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// maxFormBytes limits the body of a request.
	maxFormBytes = 256 << 10
	// contentSecurityPolicy allows style sheets and forms of the console itself only.
	contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"
)

//go:embed templates
var files embed.FS

// Config holds the settings and dependencies of a console.
type Config struct {
	Applier  *applier.Applier
	Settings loader.Settings
	Client   connect.HTTPClient
	Logger   *logger.Logger
}

type presenter struct {
	cfg    Config
	pages  map[string]*template.Template
	agents []agent
}

// agent is the agent of a host, whose state the console shows.
type agent struct {
	host   loader.Host
	client exchangerconnect.ControlClient
}

// New returns the handler of the console.
func New(cfg Config) (http.Handler, error) {
	p := &presenter{cfg: cfg, pages: make(map[string]*template.Template)}
	for _, name := range []string{"index", "form", "review", "history", "revision", "problem"} {
		page, err := template.ParseFS(files, "templates/layout.html", "templates/"+name+".html")
		if err != nil {
			return nil, err
		}
		p.pages[name] = page
	}
	options := connector.ClientOptions(cfg.Settings.Keys)
	for _, host := range cfg.Settings.Hosts {
		client := exchangerconnect.NewControlClient(cfg.Client, "http://"+host.Agent, options)
		p.agents = append(p.agents, agent{host: host, client: client})
	}
	return p.handler(), nil
}

func (p *presenter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", p.serveIndex)
	mux.HandleFunc("GET /new/{kind}", p.serveNew)
	mux.HandleFunc("GET /services/{service}", p.serveForm)
	mux.HandleFunc("POST /review", p.serveReview)
	mux.HandleFunc("POST /accept", p.serveAccept)
	mux.HandleFunc("GET /services/{service}/history", p.serveHistory)
	mux.HandleFunc("GET /services/{service}/history/{revision}", p.serveRevision)
	mux.HandleFunc("GET /style.css", func(w http.ResponseWriter, r *http.Request) {
		http.ServeFileFS(w, r, files, "templates/style.css")
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return http.NewCrossOriginProtection().Handler(p.withHeaders(mux))
}

func (p *presenter) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy", contentSecurityPolicy)
		w.Header().Set("X-Content-Type-Options", "nosniff")
		w.Header().Set("Referrer-Policy", "same-origin")
		w.Header().Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// operator returns the operator who sent a request, or an empty string if it is
// unknown. The operator header is trusted only in requests from trusted proxies.
func (p *presenter) operator(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !slices.Contains(p.cfg.Settings.Console.TrustedProxies, host) {
		return ""
	}
	return r.Header.Get(p.cfg.Settings.Console.OperatorHeader)
}

// page is the data of the layout template; Data is that of the content template.
type page struct {
	Title    string
	Operator string
	Data     any
}

func (p *presenter) render(w http.ResponseWriter, r *http.Request, status int, name, title string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	err := p.pages[name].ExecuteTemplate(w, "layout.html", page{Title: title, Operator: p.operator(r), Data: data})
	if err != nil {
		p.cfg.Logger.Error(logger.ConsoleRequest, "page", name, "error", err)
	}
}

// renderProblem logs an error and shows it with its result code.
func (p *presenter) renderProblem(w http.ResponseWriter, r *http.Request, err error) {
	failure := classifier.FailureOf(err, classifier.InvalidRequest)
	definition := failure.Code.Definition()
	p.cfg.Logger.Info(logger.ChangeRejected, "code", int(failure.Code), "operator", p.operator(r), "error", err)
	p.render(w, r, definition.Status, "problem", definition.Title, failure)
}
