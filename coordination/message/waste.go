package message

// Waste is a kind of wasted message.
type Waste uint8

// The kinds of wasted messages. Numbers stand on the wire and are never reused.
const (
	// WasteAssign is an Assign that led to no first start, as all its tasks were
	// refused or dropped.
	WasteAssign Waste = iota
	// WasteRepeat is an Assign said again to an agent that was silent.
	WasteRepeat
	// WasteReport is a Report that brought no first result and no offer that
	// was taken up.
	WasteReport
	// WasteDrop is a Drop.
	WasteDrop
	// WasteBacklog is an Assign without tasks, which only tells of a backlog.
	WasteBacklog
	// WasteEntry is an entry's: a repeated submission, question or bar, a reply
	// to one, and a try of a request that lost.
	WasteEntry
	// Wastes is how many kinds there are.
	Wastes
)

var wasteNames = [Wastes]string{"assign", "repeat", "report", "drop", "backlog", "entry"}

// String returns the kind's name, as it stands in answers.
func (w Waste) String() string { return wasteNames[w] }

// Waste counts n wasted messages of a kind.
func (s *Stats) Waste(kind Waste, n int) {
	s.Wasted += n
	s.ByKind[kind] += uint32(n)
}
