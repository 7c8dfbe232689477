package job

// Crash records the loss of a backend server while it ran a task.
type Crash struct {
	// Run is the number of the task's run, and Node the name of the server's agent.
	Run      int64
	Node     string
	Instance Instance
	// Alone is set if the server had no other run.
	Alone bool
	// Confirmed is set once a new instance of the server has registered with the same
	// agent process. A server that was only disconnected returns as the same instance.
	Confirmed bool
}
