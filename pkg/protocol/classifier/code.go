package classifier

import "net/http"

// Code is the number of a result, stable across releases.
type Code int

// Outcome is what is known about the execution of a request.
type Outcome int

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly has not run.
	NotRun
	// Done means that the request has run.
	Done
)

// Result codes of queries, and those shared by all requests.
const (
	OK                 Code = 1000
	PartialCoverage    Code = 1001
	InvalidRequest     Code = 1100
	UnknownService     Code = 1101
	BodyTooLarge       Code = 1102
	Overloaded         Code = 1200
	CallerShareUsed    Code = 1201
	Stopping           Code = 1202
	NotConfigured      Code = 1203
	ShardOverloaded    Code = 1204
	Stopped            Code = 1205
	NoServer           Code = 1300
	DeadlineExceeded   Code = 1301
	Canceled           Code = 1302
	EarlyAnswer        Code = 1303
	SnapshotGone       Code = 1304
	ServerRejected     Code = 1305
	ServerUnreachable  Code = 1306
	ServerFailed       Code = 1307
	EchoMismatch       Code = 1308
	ShortBody          Code = 1309
	ConnectionQuota    Code = 1310
	RetryBudgetUsed    Code = 1311
	ServerDraining     Code = 1312
	ResponseTooLarge   Code = 1313
	UnknownShardLayout Code = 1314
	WrongServer        Code = 1315
	UnknownRoute       Code = 1316
	StaleRoutes        Code = 1317
	NotSent            Code = 1318
	LimitReached       Code = 1319
	RequestBlocked     Code = 1320
	RequestSuspected   Code = 1321
	RequestCrashed     Code = 1322
	UnknownKey         Code = 1323
	QuotaReached       Code = 1324
	NoRoom             Code = 1325
	HeadersTooLarge    Code = 1326
)

// Result codes of orders.
const (
	OrderDone           Code = 2000
	OrderRepeated       Code = 2001
	OrderNotRun         Code = 2100
	OrderUnknown        Code = 2200
	TicketInvalid       Code = 2300
	TicketExpired       Code = 2301
	TicketHomeGone      Code = 2302
	TicketTableFull     Code = 2303
	TicketMismatch      Code = 2304
	TicketUnused        Code = 2305
	ClaimKeyMissing     Code = 2400
	ClaimTaken          Code = 2401
	ClaimRateLimited    Code = 2402
	PlatformUnavailable Code = 2403
	ClaimUnsettled      Code = 2404
	OrderInProgress     Code = 2405
	ClaimMismatch       Code = 2406
)

// Result codes of configuration changes, and of calls between the system's own processes.
const (
	ConfigInvalid     Code = 3000
	ConfigConflict    Code = 3001
	ConfigUnreachable Code = 3002
	ConfigUnsettled   Code = 3003
	ConfigNotFound    Code = 3004
	PeerUnauthorized  Code = 3100
)

// Definition describes one result code.
type Definition struct {
	Code Code
	Name string
	// Status is the HTTP status of a response with the code.
	Status  int
	Outcome Outcome
	Title   string
}

var table = []Definition{
	{OK, "ok", http.StatusOK, Done, "The request was served in full."},
	{PartialCoverage, "partialCoverage", http.StatusOK, Done, "The answer lacks the shards that it names."},
	{InvalidRequest, "invalidRequest", http.StatusBadRequest, NotRun, "The request is malformed."},
	{UnknownService, "unknownService", http.StatusNotFound, NotRun, "No configuration in force names the service."},
	{BodyTooLarge, "bodyTooLarge", http.StatusRequestEntityTooLarge, NotRun, "The request body exceeds the limit."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, "The service has reached its concurrency limit."},
	{CallerShareUsed, "callerShareUsed", http.StatusTooManyRequests, NotRun, "The caller has used its share of the concurrency limit."},
	{Stopping, "stopping", http.StatusServiceUnavailable, NotRun, "The entry is stopping."},
	{NotConfigured, "notConfigured", http.StatusServiceUnavailable, NotRun, "The entry has no configuration yet."},
	{ShardOverloaded, "shardOverloaded", http.StatusServiceUnavailable, Unknown, "The queue of a shard has reached its limit; other shards may have run."},
	{Stopped, "stopped", http.StatusServiceUnavailable, Unknown, "The entry ended while the request was running."},
	{NoServer, "noServer", http.StatusServiceUnavailable, NotRun, "No usable backend server is known."},
	{DeadlineExceeded, "deadlineExceeded", http.StatusGatewayTimeout, Unknown, "The deadline has passed."},
	{Canceled, "canceled", 499, Unknown, "The caller has gone."},
	{EarlyAnswer, "earlyAnswer", http.StatusOK, Unknown, "The shard was still outstanding when the early-answer rule applied."},
	{SnapshotGone, "snapshotGone", http.StatusConflict, NotRun, "The backend server does not hold the snapshot."},
	{ServerRejected, "serverShed", http.StatusServiceUnavailable, NotRun, "The backend server shed the request."},
	{ServerUnreachable, "serverUnreachable", http.StatusBadGateway, NotRun, "The backend server could not be connected to."},
	{ServerFailed, "serverFailed", http.StatusBadGateway, Unknown, "The exchange with the backend server failed."},
	{EchoMismatch, "echoMismatch", http.StatusBadGateway, Unknown, "The backend server answered another request."},
	{ShortBody, "shortBody", http.StatusBadGateway, Unknown, "The body of the backend server is incomplete."},
	{ConnectionQuota, "connectionQuota", http.StatusServiceUnavailable, NotRun, "The connection quota of the backend server is used up."},
	{RetryBudgetUsed, "retryBudgetUsed", http.StatusServiceUnavailable, Unknown, "The retry budget is used up."},
	{ServerDraining, "serverDraining", http.StatusServiceUnavailable, NotRun, "The backend server is leaving."},
	{ResponseTooLarge, "responseTooLarge", http.StatusBadGateway, Unknown, "The body of the backend server exceeds the limit."},
	{UnknownShardLayout, "unknownShardLayout", http.StatusServiceUnavailable, NotRun, "No snapshot is known."},
	{WrongServer, "wrongServer", http.StatusServiceUnavailable, NotRun, "Another backend server has the address."},
	{UnknownRoute, "unknownRoute", http.StatusNotFound, NotRun, "No route of the configuration in force matches the request."},
	{StaleRoutes, "staleRoutes", http.StatusServiceUnavailable, NotRun, "No route matches, and the configuration may be out of date."},
	{NotSent, "notSent", http.StatusServiceUnavailable, NotRun, "The time ended before the request was sent to a backend server."},
	{LimitReached, "limitReached", http.StatusServiceUnavailable, NotRun, "The backend servers take no more requests now, by the limits that they announce."},
	{RequestBlocked, "requestBlocked", http.StatusServiceUnavailable, NotRun, "Servers have ended again and again while they ran this request; it is not sent to others."},
	{RequestSuspected, "requestSuspected", http.StatusServiceUnavailable, NotRun, "Servers have ended while they ran this request; it runs at one server at a time."},
	{RequestCrashed, "requestCrashed", http.StatusBadGateway, Unknown, "Servers have ended while they ran this request; it was given up."},
	{UnknownKey, "unknownKey", http.StatusUnauthorized, NotRun, "No organisation of the configuration in force holds the key of the request."},
	{QuotaReached, "quotaReached", http.StatusTooManyRequests, NotRun, "The organisation has used its quota."},
	{NoRoom, "noRoom", http.StatusServiceUnavailable, NotRun, "The host has no room for the request before its deadline."},
	{HeadersTooLarge, "headersTooLarge", http.StatusRequestHeaderFieldsTooLarge, NotRun, "The headers of the request exceed a limit."},
	{OrderDone, "orderDone", http.StatusOK, Done, "The order has run."},
	{OrderRepeated, "orderRepeated", http.StatusOK, Done, "The order ran before; this is its recorded result."},
	{OrderNotRun, "orderNotRun", http.StatusServiceUnavailable, NotRun, "The order has not run."},
	{OrderUnknown, "orderUnknown", http.StatusBadGateway, Unknown, "The order may have run."},
	{TicketInvalid, "ticketInvalid", http.StatusBadRequest, NotRun, "The ticket is malformed or forged."},
	{TicketExpired, "ticketExpired", http.StatusGone, Unknown, "The ticket has expired."},
	{TicketHomeGone, "ticketHomeGone", http.StatusBadGateway, Unknown, "The home of the ticket can't be reached."},
	{TicketTableFull, "ticketTableFull", http.StatusServiceUnavailable, NotRun, "The ticket table is full."},
	{TicketMismatch, "ticketMismatch", http.StatusUnprocessableEntity, NotRun, "The ticket was used for another order."},
	{TicketUnused, "ticketUnused", http.StatusGone, NotRun, "The ticket has expired without a submission."},
	{ClaimKeyMissing, "claimKeyMissing", http.StatusBadRequest, NotRun, "The service wants an Idempotency-Key."},
	{ClaimTaken, "claimTaken", http.StatusConflict, Unknown, "Another submission holds the claim."},
	{ClaimRateLimited, "claimRateLimited", http.StatusServiceUnavailable, NotRun, "The claim rate toward the platform is used up."},
	{PlatformUnavailable, "platformUnavailable", http.StatusServiceUnavailable, NotRun, "The platform can't settle a claim; tickets still work where the service allows them."},
	{ClaimUnsettled, "claimUnsettled", http.StatusServiceUnavailable, NotRun, "The claim could not be settled; the order was not sent."},
	{OrderInProgress, "orderInProgress", http.StatusConflict, Unknown, "The same order is running."},
	{ClaimMismatch, "claimMismatch", http.StatusUnprocessableEntity, NotRun, "The key was used for another order."},
	{ConfigInvalid, "configInvalid", http.StatusUnprocessableEntity, NotRun, "The document is invalid."},
	{ConfigConflict, "configConflict", http.StatusConflict, NotRun, "Another change was accepted first."},
	{ConfigUnreachable, "configUnreachable", http.StatusServiceUnavailable, NotRun, "The platform can't be reached."},
	{ConfigUnsettled, "configUnsettled", http.StatusBadGateway, Unknown, "The change may have been accepted."},
	{ConfigNotFound, "configNotFound", http.StatusNotFound, NotRun, "No such configuration."},
	{PeerUnauthorized, "peerUnauthorized", http.StatusUnauthorized, NotRun, "The sender has no valid key."},
}

var byCode = indexByCode()

func indexByCode() map[Code]Definition {
	definitions := make(map[Code]Definition, len(table))
	for _, definition := range table {
		definitions[definition.Code] = definition
	}
	return definitions
}

// Table returns the definitions of all result codes in ascending order.
func Table() []Definition {
	return append([]Definition(nil), table...)
}

// Definition returns the definition of the code, or one named "unassigned" if the code
// has none.
func (c Code) Definition() Definition {
	definition, ok := byCode[c]
	if !ok {
		return Definition{Code: c, Name: "unassigned", Status: http.StatusInternalServerError, Title: "Unassigned result code."}
	}
	return definition
}

// String returns the name of the code.
func (c Code) String() string {
	return c.Definition().Name
}

// NotRun reports whether the code implies that the request has not run.
func (c Code) NotRun() bool {
	return c.Definition().Outcome == NotRun
}

// WeakerGuarantee returns the code with the weaker guarantee: the one that does not
// imply NotRun if the other does, otherwise second.
func WeakerGuarantee(first, second Code) Code {
	if second.NotRun() && !first.NotRun() {
		return first
	}
	return second
}

// String returns the outcome as it is written in responses to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Done:
		return "done"
	case Unknown:
		return "unknown"
	}
	return "unknown"
}
