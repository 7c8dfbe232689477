package config

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/claim"
)

var (
	daemons  = []Role{RoleEntry, RoleAgent}
	anyRole  = Roles
	entry    = []Role{RoleEntry}
	agent    = []Role{RoleAgent}
	log      = []Role{RoleStandinLog}
	backend  = []Role{RoleStandinBackend}
	backends = []Role{RoleAgent, RoleStandinBackend}
)

const (
	day       = 24 * time.Hour
	unlimited = 1 << 20
)

// table defines every setting, in the order of the page.
var table = slices.Concat(whoTable, whereTable, trustTable, limitTable, timeTable, standinTable)

var whoTable = []*setting{
	must(text("role", "What this process does: entry, agent, standin-log or standin-backend.", "entry", checkRole, anyRole...)),
	must(text("name", "The daemon's own name, the same after a restart. Its certificate bears it.", "entry-1", checkName, anyRole...)),
	must(text("region", "Region that the host stands in.", "jeonbuk", checkPlace(func(s *Settings) string { return s.Region }), daemons...)),
	must(text("failure_domain", "Failure domain within the region. The two agents of a pair stand in different ones.", "jeonju", checkPlace(func(s *Settings) string { return s.Domain }), daemons...)),
	text("rack", "Rack within the failure domain. Where there is only one domain, pairs are spread over racks.", "rack-1", checkPlace(func(s *Settings) string { return s.Rack }), daemons...),
	whole("verbosity", "Level of the log; 0 shows what an operator must see, 4 shows each decision.",
		func(s *Settings) *int { return &s.Verbosity }, 0, 0, 10, anyRole...),
}

var whereTable = []*setting{
	{
		key: "listen.http", roles: anyRole, kind: "IP:port",
		doc: "Address of the HTTP listener. Off the loopback interface it needs http_tls.",
		roleDef: map[Role]string{
			RoleEntry:          quote(defaultHTTP[RoleEntry]),
			RoleAgent:          quote(defaultHTTP[RoleAgent]),
			RoleStandinLog:     quote(defaultHTTP[RoleStandinLog]),
			RoleStandinBackend: quote(defaultHTTP[RoleStandinBackend]),
		},
		assign: func(s *Settings, r Role) { s.Listen.HTTP = defaultHTTP[r] },
		check:  checkListenHTTP,
	},
	{
		key: "listen.peer", roles: agent, kind: "IP:port",
		doc:    "Address of the listener for other daemons. Off the loopback interface it needs tls. An entry only dials.",
		def:    quote(defaultPeer),
		assign: func(s *Settings, _ Role) { s.Listen.Peer = defaultPeer },
		check:  checkListenPeer,
	},
	text("advertise.peer", "Address that other daemons reach listen.peer at. Left out, it is listen.peer; needed when that is 0.0.0.0 or [::].",
		"127.0.0.1:7401", checkAdvertise, agent...),
	must(text("log.url", "Base URL of the platform's log.", "http://127.0.0.1:7499", checkLogURL, daemons...)),
	file("log.token_file", "File with the bearer token for the log. Over http it is sent on loopback only.", "/run/shallotstep/log.token", daemons...),
	file("log.ca", "PEM file with the CA of an https log; left out, the system's.", "/run/shallotstep/log-ca.pem", daemons...),
	file("log.cert", "PEM file with the client certificate for the log, with log.key.", "/run/shallotstep/log-cert.pem", daemons...),
	file("log.key", "PEM file with the key of log.cert.", "/run/shallotstep/log-key.pem", daemons...),
}

var trustTable = []*setting{
	file("tls.cert", "PEM file with this daemon's certificate for links to other daemons. Replaced files are taken up within 10 s.", "/run/shallotstep/node-cert.pem", daemons...),
	file("tls.key", "PEM file with the key of tls.cert.", "/run/shallotstep/node-key.pem", daemons...),
	file("tls.ca", "PEM file with the CA that other daemons' certificates lead to.", "/run/shallotstep/node-ca.pem", daemons...),
	{
		key: "tls.fleet_names", roles: daemons, kind: "array of strings", sample: `["fleet.example"]`,
		doc: "DNS names that a certificate may bear instead of its node's name. Whoever has such a certificate can speak as any daemon.",
	},
	file("http_tls.cert", "PEM file with the certificate of the HTTP listener.", "/run/shallotstep/http-cert.pem", daemons...),
	file("http_tls.key", "PEM file with the key of http_tls.cert.", "/run/shallotstep/http-key.pem", daemons...),
	file("tokens_file", "File with the bearer tokens of callers and operators. Without it only the loopback interface is served.", "/run/shallotstep/tokens.json", daemons...),
	file("backend.token_file", "File with the bearer token that the agent and its backend server show each other.", "/run/shallotstep/backend.token", backends...),
	file("backend.ca", "PEM file with the CA of an https backend server; left out, the system's.", "/run/shallotstep/backend-ca.pem", agent...),
}

var limitTable = []*setting{
	whole("limits.memory_mb", "Memory that the process's collector keeps to, in MiB, beside 17 MB of program pages. Soft: what lives beyond it stays, with room for half as much again. 0 sets none.",
		func(s *Settings) *int { return &s.Limits.MemoryMB }, 44, 0, 65536, daemons...),
	whole("limits.processors", "Processors that run the agent's code at once; 0 is all of the host. Fewer are cheaper: each wake-up sets fewer threads searching for work.",
		func(s *Settings) *int { return &s.Limits.Processors }, 2, 0, 1024, agent...),
	whole("limits.in_flight_tasks", "Most tasks in flight at this entry. The limit that is in force adapts itself below it.",
		func(s *Settings) *int { return &s.Limits.InFlightTasks }, unlimited, 16, unlimited, entry...),
	whole("limits.entries", "How many entries share the callers. Each lets in its part of an operator's quota.",
		func(s *Settings) *int { return &s.Limits.Entries }, 1, 1, 1000, entry...),
	whole("limits.held_mb", "Memory for the bodies of submissions that are being answered, in MiB.",
		func(s *Settings) *int { return &s.Limits.HeldMB }, 256, 8, 65536, entry...),
	whole("limits.queued_tasks", "Accepted tasks that may wait for a slot at the agent. Others are refused as not run.",
		func(s *Settings) *int { return &s.Limits.QueuedTasks }, 2, 0, 10000, agent...),
	whole("limits.waiting_tasks", "Tasks of one service that may wait at this agent as their home.",
		func(s *Settings) *int { return &s.Limits.WaitingTasks }, 20000, 1, unlimited, agent...),
	whole("limits.stored_answers_mb", "Memory for answers kept for resubmission, of all services together, in MiB. Beyond it the oldest of each lose their results.",
		func(s *Settings) *int { return &s.Limits.StoredAnswersMB }, 16, 1, 65536, agent...),
	whole("limits.stored_results_mb", "Memory for results kept for a home whose report was lost, in MiB.",
		func(s *Settings) *int { return &s.Limits.StoredResultsMB }, 8, 1, 65536, agent...),
}

var timeTable = []*setting{
	length("timeouts.log", "Longest wait for one append to the log.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Log }, 5*time.Second, 100*time.Millisecond, 9*time.Second, daemons...),
	length("timeouts.dial", "Longest wait for a connection to another daemon.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Dial }, 2*time.Second, 50*time.Millisecond, time.Minute, daemons...),
	length("timeouts.idle", "How long a link without messages stays open; an entry's for at least 30s.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Idle }, 30*time.Second, time.Second, time.Hour, daemons...),
	length("timeouts.apply", "How long an operator's apply waits before its outcome is reported unknown.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Apply }, 10*time.Second, time.Second, 5*time.Minute, entry...),
	length("timeouts.lease", "How long a task runs on without a renewal by its agent.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Lease }, 10*time.Second, time.Second, 5*time.Minute, agent...),
	length("timeouts.evict_after", "How long an agent may be silent before others evict it. The same for the whole fleet.",
		func(s *Settings) *time.Duration { return &s.Timeouts.EvictAfter }, 15*time.Second, 10*time.Second, 10*time.Minute, agent...),
	length("timeouts.drain", "How long a planned stop waits for requests in flight before it gives up and says so.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Drain }, time.Minute, time.Second, time.Hour, daemons...),
	length("retention.answers", "How long an answer is kept for resubmission.",
		func(s *Settings) *time.Duration { return &s.Retention.Answers }, 10*time.Minute, time.Second, day, agent...),
	length("retention.claims", "How long a claim is kept, and so how long a job id runs at most once. Longer than any caller submits an id again; docs/CAPACITY.md has what it costs.",
		func(s *Settings) *time.Duration { return &s.Retention.Claims }, claim.DefaultRetention, time.Minute, 30*day, agent...),
	length("retention.blind", "How long an agent goes on granting claims with neither the log nor a peer that has seen it.",
		func(s *Settings) *time.Duration { return &s.Retention.Blind }, 6*time.Hour, time.Minute, 30*day, agent...),
	length("retention.log", "Shortest time that the platform's log keeps a record. Snapshots are written at a quarter of it.",
		func(s *Settings) *time.Duration { return &s.Retention.Log }, day, 10*time.Minute, 365*day, daemons...),
}

var standinTable = []*setting{
	whole("standin_log.appends_per_second", "Appends a second over all streams.",
		func(s *Settings) *int { return &s.StandinLog.AppendsPerSecond }, 300, 1, 100000, log...),
	whole("standin_log.retention_records", "Records kept in each stream; 0 keeps all.",
		func(s *Settings) *int { return &s.StandinLog.RetentionRecords }, 0, 0, 1<<30, log...),
	length("standin_log.retention_age", "How long a record is kept; 0s keeps all.",
		func(s *Settings) *time.Duration { return &s.StandinLog.RetentionAge }, 0, 0, 365*day, log...),
	must(text("standin_backend.agent_url", "Base URL of the agent that the stand-in announces itself to.", "http://127.0.0.1:7402", checkAgentURL, backend...)),
	must(&setting{
		key: "standin_backend.services", roles: backend, kind: "array of strings", sample: `["bench-desk"]`,
		doc: "Services that the stand-in runs tasks of.", check: checkServices,
	}),
	whole("standin_backend.slots", "Tasks run at once.",
		func(s *Settings) *int { return &s.StandinBackend.Slots }, 8, 1, 10000, backend...),
	whole("standin_backend.connections", "Connections accepted at once.",
		func(s *Settings) *int { return &s.StandinBackend.Connections }, 64, 1, 10000, backend...),
	number("standin_backend.cores", "Processors of the worker.",
		func(s *Settings) *float64 { return &s.StandinBackend.Cores }, 16, 0.1, 10000, backend...),
	whole("standin_backend.memory_mb", "Memory of the worker, in MiB.",
		func(s *Settings) *int64 { return &s.StandinBackend.MemoryMB }, 64<<10, 1, 1<<40, backend...),
	whole("standin_backend.accelerators", "Accelerators of the worker.",
		func(s *Settings) *int64 { return &s.StandinBackend.Accelerators }, 0, 0, 10000, backend...),
	length("standin_backend.ttl", "How long an announcement holds unless renewed.",
		func(s *Settings) *time.Duration { return &s.StandinBackend.TTL }, 3*time.Second, 500*time.Millisecond, time.Minute, backend...),
}

// Keys lists the settings of a role, in the order of the page.
func Keys(r Role) []string {
	var keys []string
	for _, t := range table {
		if t.isFor(r) {
			keys = append(keys, t.key)
		}
	}
	return keys
}
