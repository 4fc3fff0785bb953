package presenter

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// fieldPrefix begins the names of the form inputs that hold document fields.
const fieldPrefix = "field."

// field is one input of a form.
type field struct {
	Name  string
	Value string
	Error string
}

// form is the page to edit a document; Base is the revision it is based on.
type form struct {
	Service string
	Base    uint64
	Reason  string
	Fields  []field
	Errors  []string
}

// review is the page that shows a changed document before it is accepted.
type review struct {
	Service  string
	Base     uint64
	Reason   string
	Document string
	Changes  []configurer.FieldChange
}

func (p *presenter) serveNew(w http.ResponseWriter, r *http.Request) {
	kind := configurer.Kind(r.PathValue("kind"))
	if kind != configurer.KindQuery && kind != configurer.KindOrder {
		p.renderProblem(w, r, classifier.NewFailure(classifier.InvalidRequest, "kind %q", kind))
		return
	}
	p.render(w, r, http.StatusOK, "form", "New service", formOf(configurer.Template(kind), 0))
}

func (p *presenter) serveForm(w http.ResponseWriter, r *http.Request) {
	envelope, err := p.cfg.Applier.Current(r.Context(), r.PathValue("service"))
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	document, err := applier.DocumentOf(envelope)
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	p.render(w, r, http.StatusOK, "form", "Service "+document.Service, formOf(document, envelope.Revision))
}

// formOf returns the form of a document, with an empty class to fill in.
func formOf(document configurer.Document, base uint64) form {
	flat := configurer.Flatten(document.WithClass(configurer.Class{}))
	f := form{Service: document.Service, Base: base}
	for _, name := range slices.Sorted(maps.Keys(flat)) {
		f.Fields = append(f.Fields, field{Name: name, Value: blankIfZero(name, flat[name])})
	}
	return f
}

// blankIfZero returns an empty text for a zero in a field of a class.
func blankIfZero(name, value string) string {
	if strings.HasPrefix(name, "classes.") && value == "0" {
		return ""
	}
	return value
}

// serveReview builds and validates the document of a form and shows it for review.
func (p *presenter) serveReview(w http.ResponseWriter, r *http.Request) {
	err := r.ParseForm()
	if err != nil {
		p.renderProblem(w, r, classifier.NewFailure(classifier.InvalidRequest, "form").WithCause(err))
		return
	}
	base, _ := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	data := encodeDocument(r.PostForm)
	document, err := configurer.ParseOne("form", data)
	if err != nil {
		f := submittedForm(r.PostForm, base)
		f.addErrors(err)
		p.render(w, r, http.StatusUnprocessableEntity, "form", "Service "+f.Service, f)
		return
	}
	before, err := p.documentAt(r, document.Service, base)
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	p.render(w, r, http.StatusOK, "review", "Review "+document.Service, review{
		Service: document.Service, Base: base, Reason: r.PostForm.Get("reason"),
		Document: string(data), Changes: configurer.Diff(before, document),
	})
}

// documentAt returns the document of a revision; it is empty for revision 0.
func (p *presenter) documentAt(r *http.Request, service string, revision uint64) (configurer.Document, error) {
	if revision == 0 {
		return configurer.Document{}, nil
	}
	envelope, err := p.cfg.Applier.Revision(r.Context(), service, revision)
	if err != nil {
		return configurer.Document{}, err
	}
	return applier.DocumentOf(envelope)
}

// encodeDocument returns the JSON document that the inputs of a form describe.
func encodeDocument(values url.Values) []byte {
	root := make(map[string]any)
	for name := range values {
		path, ok := strings.CutPrefix(name, fieldPrefix)
		if ok {
			setPath(root, strings.Split(path, "."), values.Get(name))
		}
	}
	classes, ok := root["classes"].(map[string]any)
	if ok {
		root["classes"] = namedClasses(classes)
	}
	data, err := json.MarshalIndent(root, "", "  ")
	if err != nil {
		return nil
	}
	return data
}

// setPath sets the value at a path in nested maps and creates the maps that are missing.
func setPath(node map[string]any, path []string, value string) {
	if len(path) == 1 {
		node[path[0]] = parseInput(path[0], value)
		return
	}
	child, ok := node[path[0]].(map[string]any)
	if !ok {
		child = make(map[string]any)
		node[path[0]] = child
	}
	setPath(child, path[1:], value)
}

// parseInput returns the text of an input as a number if the field is numeric.
// Invalid numbers stay text, so that validation reports them.
func parseInput(name, text string) any {
	if !configurer.IsNumber(name) {
		return text
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return number
}

// namedClasses returns the classes that have a name, in the order of their keys.
func namedClasses(classes map[string]any) []any {
	list := []any{}
	for _, key := range slices.Sorted(maps.Keys(classes)) {
		class, ok := classes[key].(map[string]any)
		if ok && class["name"] != "" {
			list = append(list, class)
		}
	}
	return list
}

// submittedForm returns the form with the values that the operator entered.
func submittedForm(values url.Values, base uint64) form {
	f := form{Service: values.Get(fieldPrefix + "service"), Base: base, Reason: values.Get("reason")}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		path, ok := strings.CutPrefix(name, fieldPrefix)
		if ok {
			f.Fields = append(f.Fields, field{Name: path, Value: values.Get(name)})
		}
	}
	return f
}

// addErrors adds each validation error to its input, or to the form if no input
// matches.
func (f *form) addErrors(err error) {
	var problems configurer.Errors
	var single *decoder.PositionError
	if errors.As(err, &single) {
		problems = configurer.Errors{single}
	}
	if !errors.As(err, &problems) && single == nil {
		f.Errors = append(f.Errors, err.Error())
	}
	for _, problem := range problems {
		f.addError(problem)
	}
}

func (f *form) addError(problem *decoder.PositionError) {
	text := problem.Problem + " (allowed: " + problem.Allowed + ")"
	for i := range f.Fields {
		if f.Fields[i].Name == problem.Field {
			f.Fields[i].Error = text
			return
		}
	}
	f.Errors = append(f.Errors, problem.Field+": "+text)
}

// serveAccept writes a reviewed document as the next revision.
func (p *presenter) serveAccept(w http.ResponseWriter, r *http.Request) {
	operator := p.operator(r)
	if operator == "" {
		p.renderProblem(w, r, classifier.NewFailure(classifier.PeerUnauthorized, "no operator is signed in"))
		return
	}
	document, err := configurer.ParseOne("form", []byte(r.PostFormValue("document")))
	if err != nil {
		p.renderProblem(w, r, classifier.NewFailure(classifier.ConfigInvalid, "").WithCause(err))
		return
	}
	base, err := strconv.ParseUint(r.PostFormValue("base"), 10, 64)
	if err != nil {
		p.renderProblem(w, r, classifier.NewFailure(classifier.InvalidRequest, "base").WithCause(err))
		return
	}
	result, err := p.cfg.Applier.Apply(r.Context(), applier.Request{
		Document: document, Author: operator, Reason: r.PostFormValue("reason"), Base: base,
	})
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	p.cfg.Logger.Info(logger.ChangeAccepted, "service", document.Service, "revision", result.Envelope.Revision, "operator", operator)
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

// historyPage lists the revisions of a service, of all authors or of one.
type historyPage struct {
	Service string
	Author  string
	List    []configurer.Envelope
}

func (p *presenter) serveHistory(w http.ResponseWriter, r *http.Request) {
	service, author := r.PathValue("service"), r.URL.Query().Get("author")
	list, err := p.cfg.Applier.History(r.Context(), service)
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	list = slices.DeleteFunc(list, func(e configurer.Envelope) bool {
		return author != "" && e.Author != author
	})
	p.render(w, r, http.StatusOK, "history", "History of "+service, historyPage{Service: service, Author: author, List: list})
}

// revisionPage shows one revision and its changes.
type revisionPage struct {
	Service  string
	Envelope configurer.Envelope
	Changes  []configurer.FieldChange
	// Restore is the form that accepts this document again as a new revision.
	Restore form
}

func (p *presenter) serveRevision(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	revision, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil {
		p.renderProblem(w, r, classifier.NewFailure(classifier.InvalidRequest, "revision").WithCause(err))
		return
	}
	data, err := p.revisionPage(r, service, revision)
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	p.render(w, r, http.StatusOK, "revision", service+", revision "+strconv.FormatUint(revision, 10), data)
}

func (p *presenter) revisionPage(r *http.Request, service string, revision uint64) (revisionPage, error) {
	current, err := p.cfg.Applier.Current(r.Context(), service)
	if err != nil {
		return revisionPage{}, err
	}
	envelope, err := p.cfg.Applier.Revision(r.Context(), service, revision)
	if err != nil {
		return revisionPage{}, err
	}
	after, err := applier.DocumentOf(envelope)
	if err != nil {
		return revisionPage{}, err
	}
	before, err := p.documentAt(r, service, max(revision, 1)-1)
	if err != nil {
		return revisionPage{}, err
	}
	restore := formOf(after, current.Revision)
	restore.Reason = "restore revision " + strconv.FormatUint(revision, 10) + " of " + time.Now().UTC().Format(time.DateOnly)
	return revisionPage{Service: service, Envelope: envelope, Changes: configurer.Diff(before, after), Restore: restore}, nil
}
