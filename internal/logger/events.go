package logger

// Event is the number of a kind of log line, stable across releases.
type Event int

// The events of all processes.
const (
	ProcessStarted Event = 100
	ProcessReady   Event = 101
	StopBegun      Event = 102
	StopEnded      Event = 103
	StopForced     Event = 104
	ListenFailed   Event = 106
	RequestsEnded  Event = 107
	HangupIgnored  Event = 108
)

// The events of an entry.
const (
	QueryAnswered   Event = 200
	QueryRefused    Event = 201
	OrderEnded      Event = 210
	TicketIssued    Event = 211
	OrderUnknown    Event = 212
	ServiceApplied  Event = 220
	ServiceRejected Event = 221
	AgentLost       Event = 230
	AgentFollowed   Event = 231
)

// The events of an agent.
const (
	WatchBegun     Event = 300
	WatchFailed    Event = 301
	ObjectAccepted Event = 302
	PeerFailed     Event = 303
	WatchEnded     Event = 305
)

// The events of the console and of configuration writes.
const (
	ChangeAccepted Event = 400
	ChangeRejected Event = 401
	ConsoleRequest Event = 402
)

// The events of a host that forwards requests according to the routes of the platform.
const (
	RequestAnswered      Event = 500
	RequestRefused       Event = 501
	RequestAbandoned     Event = 502
	AttemptSent          Event = 510
	AttemptFailed        Event = 511
	RoutesAdopted        Event = 520
	RoutesRejected       Event = 521
	ServerListed         Event = 522
	ServerUnlisted       Event = 523
	RegistrationRejected Event = 524
	ServerDraining       Event = 525
	ServerPaused         Event = 526
	LimitStarted         Event = 527
	LimitChanged         Event = 528
	LimitEnded           Event = 529
	StoreLost            Event = 530
	StoreRegained        Event = 531
	HostsChanged         Event = 532
	RegistrationFailed   Event = 533
	PeerAsked            Event = 534
	ReadinessChanged     Event = 535
	DelegationFailed     Event = 536
	StoreRewound         Event = 537
	StoreRelisted        Event = 538
	LimitRejected        Event = 539
	SettingsReloaded     Event = 540
	SettingsRejected     Event = 541
	TokensMissed         Event = 542
	ServersLost          Event = 543
	ServersRegained      Event = 544
	RequestRelayed       Event = 545
	PeerHeaderRejected   Event = 546
	RequestSuspected     Event = 547
	RequestBlocked       Event = 548
	RequestCleared       Event = 549
	LinesDropped         Event = 550
	LibraryLogged        Event = 551
	RecordsRejected      Event = 552
	RecordsUnsent        Event = 553
	VerdictDecided       Event = 554
	EvidenceUnsaved      Event = 555
	EvidenceUnread       Event = 556
	KeyWithdrawn         Event = 560
	QuotaReached         Event = 570
	QuotaUnanswered      Event = 571
	QuotaTakenOver       Event = 572
	QuotaNotLent         Event = 573
	QuotaTimeLost        Event = 574
	RoomShort            Event = 580
	RoomRegained         Event = 581
	EvacuationBegun      Event = 590
	EvacuationEnded      Event = 591
	EvacuationUnknown    Event = 592
	WarmupBegun          Event = 593
	RegionUnknown        Event = 594
	HeadRefused          Event = 600
	MemoryShort          Event = 601
	ConnectionsShort     Event = 602
	PaceBegun            Event = 610
	PaceEnded            Event = 611
)

// Definition describes one log event.
type Definition struct {
	Event   Event
	Name    string
	Meaning string
}

var catalogue = []Definition{
	{ProcessStarted, "processStarted", "A process has started; its settings are valid."},
	{ProcessReady, "processReady", "The process accepts requests."},
	{StopBegun, "stopBegun", "A planned stop has begun."},
	{StopEnded, "stopEnded", "A planned stop has ended; no request was aborted."},
	{StopForced, "stopForced", "A second signal or the drain limit ended the process; the line counts the aborted requests."},
	{ListenFailed, "listenFailed", "A listener could not be opened or has failed."},
	{RequestsEnded, "requestsEnded", "A planned stop has ended the requests that were left shortly before the end of the grace period; their callers get a failure."},
	{HangupIgnored, "hangupIgnored", "SIGHUP has no effect: the process stops, or reads its settings only when it starts."},
	{QueryAnswered, "queryAnswered", "A query was answered."},
	{QueryRefused, "queryRefused", "A query was refused or failed."},
	{OrderEnded, "orderEnded", "An order has ended; the line names its outcome."},
	{TicketIssued, "ticketIssued", "A ticket was issued."},
	{OrderUnknown, "orderUnknown", "An order may or may not have run."},
	{ServiceApplied, "serviceApplied", "A revision of a service is in force at this entry."},
	{ServiceRejected, "serviceRejected", "A stored revision is invalid; the previous one stays in force."},
	{AgentLost, "agentLost", "The stream from an agent has ended or a call to it has failed; the entry continues with the objects that it holds."},
	{AgentFollowed, "agentFollowed", "The entry receives the objects of an agent."},
	{WatchBegun, "watchBegun", "The agent has begun to watch the platform."},
	{WatchFailed, "watchFailed", "A list or watch call to the platform has failed; the agent retries it."},
	{ObjectAccepted, "objectAccepted", "A newer version of an object has arrived."},
	{PeerFailed, "peerFailed", "An exchange with a peer has failed."},
	{WatchEnded, "watchEnded", "The agent has stopped watching the platform; other agents do so."},
	{ChangeAccepted, "changeAccepted", "A change of configuration was accepted."},
	{ChangeRejected, "changeRejected", "A change of configuration was rejected."},
	{ConsoleRequest, "consoleRequest", "The console served a request."},
	{RequestAnswered, "requestAnswered", "A request was answered; early if shards were left out to meet the latency objective."},
	{RequestRefused, "requestRefused", "A request was refused or ended without an answer from a backend server."},
	{RequestAbandoned, "requestAbandoned", "The caller disconnected before the answer."},
	{AttemptSent, "attemptSent", "A second or later attempt was sent to a backend server, with the reason."},
	{AttemptFailed, "attemptFailed", "An attempt at a backend server ended without a usable answer."},
	{RoutesAdopted, "routesAdopted", "A newer configuration is in force on this host."},
	{RoutesRejected, "routesRejected", "A configuration could not be used; the previous one stays in force."},
	{ServerListed, "serverListed", "A backend server may receive new requests."},
	{ServerUnlisted, "serverUnlisted", "A backend server receives no new requests: it is draining, was removed from the list, or its registration has expired."},
	{RegistrationRejected, "entryRejected", "A registration of a backend server or host in the store is invalid."},
	{ServerDraining, "serverLeaves", "A backend server has announced in an answer that it is draining; this host sends it no new requests."},
	{ServerPaused, "serverPaused", "A backend server has rejected a request with a Retry-After; this host sends it no requests for the time that the line names."},
	{LimitStarted, "limitStarted", "A backend server has announced how many requests a second it takes from all hosts together."},
	{LimitChanged, "limitChanged", "A backend server has announced another limit; the line counts the attempts of this host under the one before."},
	{LimitEnded, "limitEnded", "A backend server announces no limit any more; the line counts the attempts of this host under it."},
	{StoreLost, "storeLost", "The store does not answer; the host continues with the objects that it holds."},
	{StoreRegained, "storeRegained", "The store answers again."},
	{HostsChanged, "hostsChanged", "The number of hosts that share the budget of extra attempts (hedges and retries) has changed."},
	{RegistrationFailed, "memberFailed", "The registration of this host in the store could not be written or read."},
	{PeerAsked, "peerAsked", "A peer was asked for newer objects than this host holds."},
	{ReadinessChanged, "fitnessChanged", "The readiness of the host has changed: it asks the balancer for no callers, since it considers itself partitioned, or accepts callers again."},
	{DelegationFailed, "handOverFailed", "The delegation of a query to a gathering host has failed; another one or this host serves the query."},
	{StoreRewound, "storeRewound", "The store was restored from an older copy (a rewind), which began the era that the line names; its objects are listed again."},
	{StoreRelisted, "storeListedAnew", "A prefix was listed again after the store was restored from an older copy."},
	{LimitRejected, "limitRejected", "A backend server has announced a limit that can't be read; what was known of its limit holds on."},
	{SettingsReloaded, "settingsReloaded", "The settings file has changed and is in force."},
	{SettingsRejected, "settingsRejected", "The changed settings file is invalid; the previous settings stay in force."},
	{TokensMissed, "tokensMissed", "No host has answered an ask for a share of the limits of backend servers; this host uses a part of its equal share."},
	{ServersLost, "serversLost", "No backend server of a failure domain accepts a connection from this host or has answered it lately; isolated if that holds for all failure domains."},
	{ServersRegained, "serversRegained", "Backend servers of the failure domain can be reached again."},
	{RequestRelayed, "requestRelayed", "A request, or the parts of it whose servers this host can't reach, was sent through a peer."},
	{PeerHeaderRejected, "peerHeaderRejected", "Another host has sent header lines, or entries of a message, that can't be read; they are ignored."},
	{RequestSuspected, "requestSuspected", "Backend servers have ended while they ran a request, which runs at one server at a time from now on; the line has the evidence."},
	{RequestBlocked, "requestBlocked", "Backend servers have ended again and again while they ran a request, or an operator has decided so; it is sent to no server from now on."},
	{RequestCleared, "requestCleared", "A run of a request has ended well, another request accounts for the ends of the servers, or an operator has lifted the verdict."},
	{LinesDropped, "linesDropped", "Log lines were dropped to limit the log volume."},
	{LibraryLogged, "libraryNoted", "A library wrote a log line, such as net/http about a connection with bytes that belong to no request."},
	{RecordsRejected, "recordsRejected", "Another host has sent a record of a request under which servers have ended that can't be read; the others of the message are used."},
	{RecordsUnsent, "recordsUnsent", "Another host has not taken changed records; it gets them in a later comparison."},
	{VerdictDecided, "verdictDecided", "An operator has lifted the verdict on a request, or blocked the request."},
	{EvidenceUnsaved, "evidenceUnsaved", "The evidence of this host against requests could not be written to the store; it is written again."},
	{EvidenceUnread, "evidenceUnread", "Evidence against requests could not be read from the store; the rest is used."},
	{KeyWithdrawn, "keyWithdrawn", "A newer configuration has taken away the key of a request in flight, which is sent to no further server; the line has the version by which it was accepted."},
	{QuotaReached, "quotaReached", "A request was refused for the quota of its organisation; the line says what the bucket held, which host keeps it and when it told so, or that no host has answered."},
	{QuotaUnanswered, "quotaUnanswered", "No host of the failure domain has answered an ask for tokens of a quota; this host admits a small share until one does."},
	{QuotaTakenOver, "quotaTakenOver", "This host keeps the bucket of an organisation in place of a host that is lost or late; it begins empty."},
	{QuotaNotLent, "quotaNotLent", "Another failure domain has not answered an ask to lend tokens of a quota; this one goes on with its own part."},
	{QuotaTimeLost, "quotaTimeLost", "The process stood still; the buckets of quotas that it keeps gain nothing for that time."},
	{RoomShort, "roomShort", "This host has more work than it admits at once; callers' requests wait or are refused from now on, the request in the line first."},
	{RoomRegained, "roomRegained", "No request has waited for some time; the line counts those that were admitted after waiting, and those refused, since the host was short of room."},
	{EvacuationBegun, "evacuationBegun", "The operators have a failure domain evacuated: this host sends nothing more to the backend servers there."},
	{EvacuationEnded, "evacuationEnded", "The evacuation of a failure domain was taken back; its backend servers may get requests again."},
	{EvacuationUnknown, "evacuationUnknown", "No backend server is registered in a failure domain that is to be evacuated; its name may be wrong."},
	{WarmupBegun, "warmupBegun", "A backend server is cold: until it has warmed up, all hosts together keep to the rate that its service allows for that."},
	{RegionUnknown, "regionUnknown", "The configuration names a region in which no failure domain is known, so that it allows no backend server; the rest holds."},
	{HeadRefused, "headRefused", "The head of a request was refused before it was read in full, or before the request was begun, as it has too many lines or the heads of all requests take all their memory; the line counts those refused since the last such line."},
	{MemoryShort, "memoryShort", "A request was refused before it was begun, as what clients make the host hold takes all the memory for it; the line has what each use takes and counts the requests refused since the last such line."},
	{ConnectionsShort, "connectionsShort", "A connection without a request was closed since there are too many, the one that had waited longest if any waited, else the new one; the line counts those closed since the last such line."},
	{PaceBegun, "paceBegun", "A backend server has started or recovered; it gets a part of its usual requests, which grows with its answers."},
	{PaceEnded, "paceEnded", "A backend server gets all its usual requests again."},
}

// Catalogue returns the definitions of all log events in ascending order.
func Catalogue() []Definition {
	return append([]Definition(nil), catalogue...)
}

// String returns the name of the event, or "unassigned" if the event has none.
func (e Event) String() string {
	for _, definition := range catalogue {
		if definition.Event == e {
			return definition.Name
		}
	}
	return "unassigned"
}
