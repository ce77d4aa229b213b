package event

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// ID is the number of an event.
type ID int

// Meaning is the catalogue entry of an event.
type Meaning struct {
	ID    ID
	Name  string
	Level zerolog.Level
	Doc   string
}

// The event numbers, by subject: 1xx node, 2xx cell ownership, 3xx jobs, 4xx
// placement, 5xx requests, 6xx configuration, 7xx platform and workers.
const (
	NodeStarted    ID = 101
	NodeDraining   ID = 102
	NodeStopped    ID = 103
	PeerSuspected  ID = 110
	PeerBack       ID = 111
	NodeStale      ID = 120
	NodeFresh      ID = 121
	SettingsRead   ID = 130
	LinesDropped   ID = 131
	ClientsRefused ID = 132
	CellTaken      ID = 201
	CellRebuilt    ID = 202
	CellLost       ID = 203
	CellReleased   ID = 204
	CellHeld       ID = 205
	CellResumed    ID = 206
	LeadTaken      ID = 210
	LeadRebuilt    ID = 211
	LeadLost       ID = 212
	LeadReleased   ID = 213
	JobAccepted    ID = 301
	JobRepeated    ID = 302
	JobRefused     ID = 303
	JobEnded       ID = 304
	JobUnknown     ID = 305
	JobRequeued    ID = 306
	JobCancelled   ID = 307
	JobNotYetKnown ID = 308
	WorkAccepted   ID = 310
	WorkRefused    ID = 311
	WorkCancelled  ID = 312
	WorkEnded      ID = 313
	TaskPlaced     ID = 320
	TaskEnded      ID = 321
	TaskStopped    ID = 322
	TaskVanished   ID = 323
	TaskStray      ID = 324
	StartFailed    ID = 325
	Advised        ID = 326
	StartsLimited  ID = 327
	WorkWaiting    ID = 328
	TaskLost       ID = 329
	WaveAsked      ID = 330
	WaveTold       ID = 331
	UpkeepOrdered  ID = 332
	OwnerLoad      ID = 333
	CarriersChosen ID = 334
	CarrierDown    ID = 335
	Placed         ID = 401
	Evicted        ID = 402
	Held           ID = 403
	HoldReleased   ID = 404
	Quarantined    ID = 405
	Readmitted     ID = 406
	AtRisk         ID = 407
	RiskOver       ID = 408
	GangIncomplete ID = 409
	RequestRouted  ID = 501
	RequestRetried ID = 502
	RequestFailed  ID = 503
	ConfigAccepted ID = 601
	ConfigRefused  ID = 602
	ConfigInForce  ID = 603
	PlanInForce    ID = 610
	PlanStale      ID = 611
	PlanFresh      ID = 612
	PlanInvalid    ID = 613
	ZoneEvacuated  ID = 614
	EvacuationView ID = 615
	ZoneShortfall  ID = 616
	TableUnknown   ID = 701
	TableDown      ID = 702
	TableBack      ID = 703
	StoreFailed    ID = 704
	RecordTrimmed  ID = 706
	RowStale       ID = 707
	RowCorrupt     ID = 705
	WorkerLeaving  ID = 710
	WorkerGone     ID = 711
	WorkerBack     ID = 712
	WorkerSilent   ID = 713
	BadVM          ID = 714
	WorkerReborn   ID = 715
	VMsListed      ID = 716
	WorkerSpeed    ID = 717
	ObjectDown     ID = 720
)

// Catalogue lists every event exactly once, ordered by number.
var Catalogue = []Meaning{
	{NodeStarted, "node-started", zerolog.InfoLevel, "The process serves callers and peers."},
	{NodeDraining, "node-draining", zerolog.InfoLevel, "A planned stop began: readiness is off, cells are handed over, requests in progress are finished."},
	{NodeStopped, "node-stopped", zerolog.InfoLevel, "The process ends; the line says whether everything in progress was finished."},
	{PeerSuspected, "peer-suspected", zerolog.WarnLevel, "Heartbeats to a peer failed on a fresh connection too."},
	{PeerBack, "peer-back", zerolog.InfoLevel, "A suspected peer answers again."},
	{NodeStale, "node-stale", zerolog.ErrorLevel, "The node can't show that its configuration is fresh and starts nothing until it can."},
	{NodeFresh, "node-fresh", zerolog.InfoLevel, "The configuration is shown to be fresh again."},
	{SettingsRead, "settings-read", zerolog.InfoLevel, "The settings file was read again; the line names what changed and needs a restart."},
	{LinesDropped, "lines-dropped", zerolog.WarnLevel, "Log lines were dropped because standard output did not take them in time."},
	{ClientsRefused, "clients-refused", zerolog.WarnLevel, "Clients outside the limits were refused or cut off; the line counts bodies over the limit, bodies without memory, senders that stalled and connections closed for newer ones."},
	{CellTaken, "cell-taken", zerolog.InfoLevel, "This node became the owner of a cell at a new epoch."},
	{CellRebuilt, "cell-rebuilt", zerolog.InfoLevel, "The owner has read the cell's jobs and decides from now on."},
	{CellLost, "cell-lost", zerolog.WarnLevel, "Another node owns the cell at a newer epoch."},
	{CellReleased, "cell-released", zerolog.InfoLevel, "The owner gave the cell up so that another can take it at once."},
	{CellHeld, "cell-held", zerolog.WarnLevel, "The owner could not renew its lease: it keeps running work alive and decides nothing."},
	{CellResumed, "cell-resumed", zerolog.InfoLevel, "The owner renewed its lease again and decides."},
	{LeadTaken, "lead-taken", zerolog.InfoLevel, "This node became the owner of the work at a new epoch."},
	{LeadRebuilt, "lead-rebuilt", zerolog.InfoLevel, "The owner has read all work and records and decides from now on."},
	{LeadLost, "lead-lost", zerolog.WarnLevel, "Another node owns the work; this one decides nothing more."},
	{LeadReleased, "lead-released", zerolog.InfoLevel, "The owner gave the work up so that another node takes it at once."},
	{JobAccepted, "job-accepted", zerolog.InfoLevel, "A job is durable."},
	{JobRepeated, "job-repeated", zerolog.InfoLevel, "A caller repeated a request with a known key and got the same job."},
	{JobRefused, "job-refused", zerolog.InfoLevel, "A job did not run and will not."},
	{JobEnded, "job-ended", zerolog.InfoLevel, "A job reached its end."},
	{JobUnknown, "job-unknown", zerolog.ErrorLevel, "A job that must not run twice may have run, and nobody can tell."},
	{JobRequeued, "job-requeued", zerolog.InfoLevel, "A job goes back to the queue."},
	{JobCancelled, "job-cancelled", zerolog.InfoLevel, "A caller's cancel won."},
	{JobNotYetKnown, "job-not-yet-known", zerolog.WarnLevel, "A caller was told to ask again with the same key."},
	{WorkAccepted, "work-accepted", zerolog.InfoLevel, "A node has made a job of steps durable."},
	{WorkRefused, "work-refused", zerolog.InfoLevel, "A node refused a job of steps, or could not tell whether it is durable; the line says which and why."},
	{WorkCancelled, "work-cancelled", zerolog.InfoLevel, "A caller's cancel of a job of steps is durable."},
	{WorkEnded, "work-ended", zerolog.InfoLevel, "The final state of a job of steps is durable."},
	{TaskPlaced, "task-placed", zerolog.InfoLevel, "A task's run was decided; the line gives the worker and the reason."},
	{TaskEnded, "task-ended", zerolog.InfoLevel, "A worker listed the end of a run; present tells whether it was the task's newest."},
	{TaskStopped, "task-stopped", zerolog.InfoLevel, "A run is stopped; the line gives the reason."},
	{TaskVanished, "task-vanished", zerolog.WarnLevel, "A worker no longer knows a run that it had; the task waits again. The line gives how many runs the worker listed, the ends acknowledged to it and seen from it, its incarnation, and the one that the start was sent to."},
	{TaskStray, "task-stray", zerolog.WarnLevel, "A worker has a run that the records don't know; it is stopped."},
	{StartFailed, "start-failed", zerolog.WarnLevel, "The order to start a run failed; the line tells whether it may still be carried out."},
	{Advised, "advised", zerolog.InfoLevel, "The adviser was asked which workers may run a step; the line gives how many it allows, or the error, and how many questions were ahead."},
	{StartsLimited, "starts-limited", zerolog.WarnLevel, "Workers answer starts late because this node's link or processor is full, or no longer so; fewer starts are sent at a time."},
	{WorkWaiting, "work-waiting", zerolog.InfoLevel, "Tasks of a step have waited for a second or more; the line says for what, and is written again when that changes."},
	{TaskLost, "task-lost", zerolog.WarnLevel, "A run was lost with its worker; the line says whether the worker crashed, for how long the run was there (-1: not known), how many have crashed under the task, and whether it must run apart."},
	{WaveAsked, "wave-asked", zerolog.InfoLevel, "An operator asks for the upkeep of some VMs; the line gives how many, how many at once, and the time."},
	{WaveTold, "wave-told", zerolog.InfoLevel, "The operator is told that a wave goes on or is completed."},
	{UpkeepOrdered, "upkeep-ordered", zerolog.InfoLevel, "The platform was told to take a VM into upkeep; the line gives the error if it did not."},
	{OwnerLoad, "owner-load", zerolog.InfoLevel, "What the owner's node has exchanged since the last such line, by kind of message, with the tasks that wait for a start, the starts that may be in flight, and the longest scheduling pass."},
	{CarriersChosen, "carriers-chosen", zerolog.InfoLevel, "Other nodes carry the owner's orders to some of the workers; the line gives how many nodes and workers."},
	{CarrierDown, "carrier-down", zerolog.WarnLevel, "A node that carries orders does not answer; the owner sends them to the workers directly for a while."},
	{Placed, "placed", zerolog.InfoLevel, "A placement was decided; the line gives mode, workers and reason."},
	{Evicted, "evicted", zerolog.InfoLevel, "A job is stopped to give its places back; the line gives the reason."},
	{Held, "held", zerolog.InfoLevel, "Places are held for a blocked gang."},
	{HoldReleased, "hold-released", zerolog.InfoLevel, "Held places are given up."},
	{Quarantined, "quarantined", zerolog.WarnLevel, "A worker gets no work for a while because jobs fail on it."},
	{Readmitted, "readmitted", zerolog.InfoLevel, "A worker succeeded on probation."},
	{AtRisk, "guarantee-at-risk", zerolog.ErrorLevel, "Part of a guaranteed shape can't be formed; the line gives workspace and amount."},
	{RiskOver, "guarantee-whole", zerolog.InfoLevel, "A guaranteed shape that was at risk can be formed again."},
	{GangIncomplete, "gang-incomplete", zerolog.WarnLevel, "Not every member of a gang started; all are stopped."},
	{RequestRouted, "request-routed", zerolog.DebugLevel, "A short request was sent to a target; the line gives the reason."},
	{RequestRetried, "request-retried", zerolog.InfoLevel, "An idempotent request goes to another target."},
	{RequestFailed, "request-failed", zerolog.WarnLevel, "A short request got no answer; the line says whether it may have run."},
	{ConfigAccepted, "config-accepted", zerolog.InfoLevel, "A new generation of the configuration is durable."},
	{ConfigRefused, "config-refused", zerolog.InfoLevel, "A change of the configuration was refused."},
	{ConfigInForce, "config-in-force", zerolog.InfoLevel, "This node applies a generation."},
	{PlanInForce, "plan-in-force", zerolog.InfoLevel, "This node applies a newer plan."},
	{PlanStale, "plan-stale", zerolog.WarnLevel, "This node can't show that its plan is the newest and refuses callers until it can."},
	{PlanFresh, "plan-fresh", zerolog.InfoLevel, "The plan is shown to be the newest again."},
	{PlanInvalid, "plan-invalid", zerolog.ErrorLevel, "A plan could not be read; the one before stays in force."},
	{ZoneEvacuated, "zone-evacuated", zerolog.WarnLevel, "The operator's request that nothing starts in a zone is in force at the owner, or was withdrawn."},
	{EvacuationView, "evacuation-view", zerolog.WarnLevel, "The owner can't show that its view of the evacuated zones is recent and starts nothing, or it can again."},
	{ZoneShortfall, "zone-shortfall", zerolog.WarnLevel, "A guarantee or gangs of a workspace no longer fit in the zones that are not evacuated, or fit again."},
	{TableUnknown, "table-unknown", zerolog.WarnLevel, "The outcome of a transaction could not be settled in time."},
	{TableDown, "table-down", zerolog.WarnLevel, "Reads or writes of the table fail; the line is written once until it answers again."},
	{TableBack, "table-back", zerolog.InfoLevel, "The table answers again."},
	{StoreFailed, "store-failed", zerolog.WarnLevel, "A call of the platform's store failed; the line names the call."},
	{RowCorrupt, "row-corrupt", zerolog.ErrorLevel, "A row of the store could not be read and is left alone."},
	{RecordTrimmed, "record-trimmed", zerolog.WarnLevel, "The state of a job is too large for a row of the store; its tasks' checkpoints were left out."},
	{RowStale, "row-stale", zerolog.InfoLevel, "A row that was read before its job was removed is ignored."},
	{WorkerLeaving, "worker-leaving", zerolog.InfoLevel, "A worker gets nothing new; the line says who told."},
	{WorkerGone, "worker-gone", zerolog.WarnLevel, "A worker is taken as lost."},
	{WorkerBack, "worker-back", zerolog.InfoLevel, "A worker joined or came back."},
	{WorkerSilent, "worker-silent", zerolog.WarnLevel, "Renewals to a worker fail."},
	{BadVM, "bad-vm-entry", zerolog.WarnLevel, "An entry of the VM list, or of a worker, failed its checks and is ignored; the line is written once until the entry is well again."},
	{WorkerReborn, "worker-reborn", zerolog.WarnLevel, "A worker has restarted under its id and knows nothing of before."},
	{VMsListed, "vms-listed", zerolog.WarnLevel, "The platform's list of VMs can no longer be read, or again; no VM goes into upkeep meanwhile."},
	{WorkerSpeed, "worker-speed", zerolog.InfoLevel, "The speed class of a worker changed; the line gives the class before, how many times as long tasks take there as on the typical worker of the pool, the bounds of one standard error, and the number of samples."},
	{ObjectDown, "object-store-down", zerolog.WarnLevel, "An answer could not be written to the object store and is kept by its worker."},
}

// timeLayout is the format of the time of a line. It has millisecond resolution so that lines of
// several nodes can be ordered.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Log writes numbered events as JSON lines. The zero value and a nil Log write nothing.
type Log struct {
	logger *zerolog.Logger
	byID   map[ID]Meaning
}

// New returns a Log that writes events of at least the given level to w. Each line carries the node name.
func New(w io.Writer, node string, level zerolog.Level) *Log {
	logger := zerolog.New(w).Level(level).With().Str("node", node).Logger()
	byID := map[ID]Meaning{}
	for _, m := range Catalogue {
		byID[m.ID] = m
	}
	return &Log{logger: &logger, byID: byID}
}

// Emit starts a log line for the event. The caller adds fields and calls Send.
func (l *Log) Emit(id ID) *zerolog.Event {
	if l == nil || l.logger == nil {
		return nil
	}
	m := l.byID[id]
	return l.logger.WithLevel(m.Level).Str("time", time.Now().UTC().Format(timeLayout)).Int("event", int(id)).Str("name", m.Name)
}
