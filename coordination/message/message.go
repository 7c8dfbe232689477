// Package message defines what nodes say to one another. Messages are plain
// values: the protocol layer turns them into wire form and back, and any
// harness can hand them to a node directly.
//
// Messages may be lost, repeated, late and out of order. Every machine that
// takes one must be safe under all four. Durations are relative, because no
// node trusts another's clock.
package message

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
)

// Message is any value that one node sends to another.
type Message interface{ message() }

// Attempt names one try of one entry to have a submission accepted. An attempt
// is bound to one epoch: it can be granted at that epoch only, so that either
// member of the pair can rule it out for good.
type Attempt string

// Submit asks the home of a job to accept it. Entry to home.
type Submit struct {
	Job     state.Job
	Digest  state.Digest
	Attempt Attempt
	// Epoch is the share's epoch as the entry knows it.
	Epoch state.Epoch
	// Deadline is how long from now the caller waits. Zero means no deadline.
	Deadline time.Duration
	// Fence is what the entry was last told for the id at Epoch.
	Fence Fence
	// Query asks for the state of a known job and never starts anything. Job
	// carries no tasks and Digest is not compared.
	Query bool
}

// Fence has a number of each member of a pair. Each rules out every attempt for
// an id that carries a smaller one; see package guard. Zero means none.
type Fence struct {
	Home, Witness uint64
	// Age, in an Answer, is how long ago the fence was set that keeps the attempt
	// out. Zero means that none does.
	Age time.Duration
}

// IsZero reports whether no fence is set.
func (f Fence) IsZero() bool { return f.Home == 0 && f.Witness == 0 }

// Join returns the larger number of each member, without an age.
func (f Fence) Join(g Fence) Fence {
	return Fence{Home: max(f.Home, g.Home), Witness: max(f.Witness, g.Witness)}
}

// Answer is the home's final answer to one attempt. Home to entry.
type Answer struct {
	Key     state.JobKey
	Attempt Attempt
	Outcome state.Outcome
	Reason  state.Reason
	// Detail is a sentence for a person; it may be empty.
	Detail string
	// RetryAfter is when coming back makes sense. Zero means it doesn't help.
	RetryAfter time.Duration
	// Epoch is the share's epoch as the answerer knows it, so that a stale
	// entry learns that it must catch up.
	Epoch state.Epoch
	// Fence, with NotRun, is what the next attempt for the id has to carry at
	// Epoch.
	Fence Fence
	// Holder, when set, names the node that holds the job: ask there.
	Holder state.NodeID
	// Results stand in task order. Set only when Outcome is Complete.
	Results []state.TaskResult
	// Stats counts what the answer cost.
	Stats Stats
}

// Stats is what a job cost, for response time against the ideal and for
// wasted messages.
type Stats struct {
	// Messages is how many messages were sent on the job's behalf.
	Messages int
	// Wasted is how many of them led to no first start and no first result.
	Wasted int
	// ByKind is Wasted by kind.
	ByKind [Wastes]uint32
	// Longest and Total are the longest and the summed run time of its tasks.
	Longest time.Duration
	Total   time.Duration
	// Elapsed is from the home's first sight of the job to its answer.
	Elapsed time.Duration
	// Started is how many of its tasks are known to have been started: with the
	// answer to a cancellation, exactly as many as were.
	Started int
}

// Cancel asks the home to stop a job. Entry to home.
type Cancel struct {
	Key     state.JobKey
	Attempt Attempt
}

// Bar asks a member of the pair to rule out an attempt for good. Entry to the
// member that it can reach when the other one is silent.
type Bar struct {
	Key     state.JobKey
	Attempt Attempt
	Epoch   state.Epoch
	// Unsent says that the attempt was sent to nobody and never will be. Then
	// only the record of the id matters, and nothing has to be remembered.
	Unsent bool
}

// BarReply answers a Bar. Barred means that the attempt was never granted and
// never will be. Otherwise Holder names who may have been granted the id.
type BarReply struct {
	Key     state.JobKey
	Attempt Attempt
	Barred  bool
	Reason  state.Reason
	Epoch   state.Epoch
	Holder  state.NodeID
}

// ClaimAsk asks the witness to record a claim. Home to witness.
type ClaimAsk struct {
	Key     state.JobKey
	Region  string
	Digest  state.Digest
	Attempt Attempt
	// Token identifies the home's try, so that a repeated ask after a lost
	// reply gets the same yes.
	Token string
	// Epoch is the share's epoch at the home.
	Epoch state.Epoch
	// Knows says that the home's record holds every claim granted below Epoch.
	Knows bool
	// Fence is the Submit's number for the witness.
	Fence uint64
}

// ClaimReply answers a ClaimAsk. Witness to home.
type ClaimReply struct {
	Key   state.JobKey
	Token string
	Epoch state.Epoch
	// Granted says that the witness has recorded the claim for this token.
	Granted bool
	// Reason says why not.
	Reason state.Reason
	// Fence is the number of the witness's fence that keeps the attempt out, and
	// FenceAge how long ago it was set. Zero means that none does.
	Fence    uint64
	FenceAge time.Duration
	// Holder is of the record that stands in the way, if one does. Digest is the
	// asker's unless the reason is a conflict: homes of older versions call
	// another one a conflict themselves, which only the witness can.
	Holder state.NodeID
	Digest state.Digest
}

// Record is one claim as pairs exchange it.
type Record struct {
	ID      claim.ID
	Content claim.Content
	// Holder is the home that asked for the claim.
	Holder state.NodeID
	// Age is how long ago the claim was recorded.
	Age time.Duration
}

// PullAsk asks for every claim of one share. Any agent to any agent.
type PullAsk struct {
	Region string
	Share  uint32
	// Need is the watermark that makes the reply useful.
	Need state.Epoch
	// Lacks are epochs whose claims the asker lacks. A sender that holds all
	// claims of one of them is of use, too.
	Lacks []state.Epoch
	// After continues a reply that was too large for one message.
	After string
}

// PullReply carries the claims of one share. Knows is the sender's watermark
// when it read the records.
type PullReply struct {
	Region string
	Share  uint32
	Knows  state.Epoch
	// Refused says that the sender sent no records because they would have been
	// of no use. It is not a share without claims.
	Refused bool
	// Below, Through and Gaps say what else the records hold: every claim
	// granted at an epoch from Below on and before Through that Gaps doesn't
	// name. Through is at most the sender's own epoch.
	Below   state.Epoch
	Through state.Epoch
	Gaps    []state.Epoch
	Records []Record
	// After repeats the After of the ask: pages are matched by it, so that a
	// late last page of another pull isn't taken for the whole share.
	After string
	// Next is the After of the following page; empty on the last page.
	Next string
}

// RosterAsk asks a peer for roster records after an offset, when the log is
// out of service or slow. Any node to any node.
type RosterAsk struct {
	After state.Epoch
	// Seq numbers the asker's asks. The reply repeats it.
	Seq uint64
}

// RosterReply carries roster records as they stand in the log.
type RosterReply struct {
	Records []RosterRecord
	// Seq repeats the Seq of the ask.
	Seq uint64
	// Fresh says that Records reach to the sender's last offset, and that the
	// sender knows that no later record stood in the log Age ago.
	Fresh bool
	Age   time.Duration
}

// RosterRecord is one record of the roster stream with its offset.
type RosterRecord struct {
	Offset int64
	Data   []byte
}

// Assign hands tasks of one job to an agent. Home (or entry, for a repeatable
// request) to agent. Sending it again is safe: an agent starts each task of a
// job at most once, however often it is told to.
type Assign struct {
	Key      state.JobKey
	Operator string
	// Indexes and Tasks stand side by side.
	Indexes []int
	Tasks   []state.Task
	// Deadline is how long from now the result is of use. Zero means always.
	Deadline time.Duration
	// Backlog is how many more tasks of the job wait at the sender. An agent
	// that has room says so with Report.Credit.
	Backlog int
	// Repeatable lets the agent start a task that ran elsewhere before.
	Repeatable bool
	// Tries stand beside Indexes: how often the sender has placed each task
	// before. A refusal holds for its try and every lower one, so that a late
	// copy of an Assign can't start a task that has since moved on. Nil means
	// zero for all.
	Tries []uint32
	// Override asks a backend server that is held to be failing to take the
	// tasks all the same, because too much of its service is ejected.
	Override bool
	// Priority is the operator's, as declared: 1 is the lowest. Zero means that
	// the sender knows none.
	Priority int
}

// KeepFrom is the try from which on an agent that refuses a task as busy keeps it
// in mind as backlog of the sender and offers a slot for it. Below that the sender
// tries another agent at once, and an offer would find the task gone.
const KeepFrom = 1

// Report tells the sender of an Assign what became of its tasks: results as
// they come, and refusals. Agent to home.
type Report struct {
	Key state.JobKey
	// Results are tasks that ran, well or not.
	Results []state.TaskResult
	// Refused are tasks that were not started and never will be by this Assign.
	Refused []int
	// Tries stand beside Refused: the highest try that the refusal rules out.
	// Nil means zero for all.
	Tries []uint32
	// Reason says why, for all of Refused.
	Reason     state.Reason
	RetryAfter time.Duration
	// Running are the indexes that the agent holds, in answer to a repeated
	// Assign or a TaskQuery.
	Running []int
	// Credit is how many more tasks of this job the agent would take now.
	Credit int
	// Load is the agent's own load, piggy-backed.
	Load state.AgentLoad
}

// TaskQuery asks an agent what it knows of tasks it was assigned. An index
// that it has never seen is refused for good and so reported as not run.
type TaskQuery struct {
	Key     state.JobKey
	Indexes []int
	// Tries stand beside Indexes, as in Assign.
	Tries []uint32
}

// Drop tells an agent that the tasks of a job it still holds are of no use:
// queued ones are forgotten, running ones are stopped. One message per agent.
type Drop struct {
	Key state.JobKey
	// Indexes are tasks of which the sender must know whether they started.
	// The agent rules out those that have not and reports on all of them:
	// Refused, Results, or Running for a task that was started.
	Indexes []int
	// Tries stand beside Indexes, as in Assign.
	Tries []uint32
}

// Drops are the Drops of several jobs for one agent. Home to agent. Cancellations
// come in waves of thousands; one message for each job and agent would cost more
// than the tasks that they stop.
type Drops struct {
	Jobs []Drop
}

// LoadNews spreads what agents say of themselves. Any node to any node.
type LoadNews struct {
	Loads []LoadItem
	// Pull asks for the receiver's news in return: the page of its table, in
	// the order of ids, that follows After.
	Pull  bool
	After state.NodeID
	// Page says that Loads is such a page, asked for with this After.
	Page bool
	// Read is the position of a node outside the roster: of the sender, or of one
	// that it has heard of. Its ID is empty if there is none.
	Read ReadPosition
}

// ReadPosition is how far a node has read the stream of declarations.
type ReadPosition struct {
	// ID and Said are set in a LoadNews only. Said is how long ago the node said
	// this.
	ID   state.NodeID
	Said time.Duration
	// Next is the offset that it reads next; 0 says that nothing is known. Age is
	// how long before this was said it read the one before. It is 0 if the node
	// did so when it came up, so that it says nothing of how late the node is.
	Next int64
	Age  time.Duration
	// Incomplete says that the node does not know every operator's state from the
	// log, and judges no apply.
	Incomplete bool
}

// LoadItem is one agent's load and how long ago its originator said it.
type LoadItem struct {
	Load state.AgentLoad
	// Beat counts the rounds of news since the originator started. A higher Beat
	// of one Load.Seq is newer news that the originator lives.
	Beat uint32
	Age  time.Duration
	// Read is the agent's position, without ID and Said.
	Read ReadPosition
}

// DeclarationAsk asks a peer for the accepted declarations it has, when the
// log is out of service or no longer keeps them.
type DeclarationAsk struct {
	// Have maps operators to the versions the asker already has.
	Have map[string]state.Version
}

// DeclarationReply carries accepted declarations newer than asked.
type DeclarationReply struct {
	Records []DeclarationRecord
}

// DeclarationRecord is one operator's accepted declaration.
type DeclarationRecord struct {
	Operator string
	Version  state.Version
	ApplyID  string
	File     []byte
}

// Stop asks an agent to begin its planned stop. Entry to agent. Sending it again
// is safe: an agent stops once.
type Stop struct {
	// Ticket is the entry's, and names the request in the reply.
	Ticket uint64
}

// StopReply answers a Stop. Agent to entry.
type StopReply struct {
	Ticket uint64
	// Draining says that the agent's planned stop has begun, whoever asked for
	// it. It never ends but with the process.
	Draining bool
}

// HandOver gives answers that the sender keeps for resubmission to the present
// home of their jobs, because the sender leaves or is their home no more. Agent
// to agent. Sending it again is safe: an answer is taken in once.
type HandOver struct {
	Answers []StoredAnswer
}

// StoredAnswer is the final answer to a job.
type StoredAnswer struct {
	// Holder is the node that the claim of the job names. It is not the sender
	// when the sender was given the answer itself.
	Holder state.NodeID
	Digest state.Digest
	// Answer belongs to no attempt.
	Answer Answer
	// Age is how long ago the job was answered.
	Age time.Duration
}

// HandOverReply acknowledges a HandOver. What it leaves out is to be sent again.
type HandOverReply struct {
	// Settled are the jobs whose answer the receiver has taken, or never will.
	Settled []state.JobKey
}

func (Submit) message()           {}
func (Answer) message()           {}
func (Cancel) message()           {}
func (Bar) message()              {}
func (BarReply) message()         {}
func (ClaimAsk) message()         {}
func (ClaimReply) message()       {}
func (PullAsk) message()          {}
func (PullReply) message()        {}
func (RosterAsk) message()        {}
func (RosterReply) message()      {}
func (Assign) message()           {}
func (Report) message()           {}
func (TaskQuery) message()        {}
func (Drop) message()             {}
func (Drops) message()            {}
func (LoadNews) message()         {}
func (DeclarationAsk) message()   {}
func (DeclarationReply) message() {}
func (Stop) message()             {}
func (StopReply) message()        {}
func (HandOver) message()         {}
func (HandOverReply) message()    {}
