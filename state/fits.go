package state

// Fits reports whether the task's declared size is within the worker's whole
// size. A worker that states no size at all is taken to hold anything.
func (l *AgentLoad) Fits(t *Task) bool {
	if t.Accelerators > l.Accelerators {
		return false
	}
	if l.MemoryMB > 0 && t.MemoryMB > l.MemoryMB {
		return false
	}
	return l.Cores <= 0 || t.Cores <= l.Cores
}
