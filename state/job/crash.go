package job

// Crash is a backend server that was lost while a run of a task was there.
type Crash struct {
	// Run is the number of the run, Node the agent beside the server, and Instance that
	// of the server.
	Run            int64
	Node, Instance string
	// Alone is set where no other run was on the server.
	Alone bool
	// Confirmed is set once another instance has come up beside an agent that ran on. A
	// server that was only cut off comes back as the same instance.
	Confirmed bool
}
