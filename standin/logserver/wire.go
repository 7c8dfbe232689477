package logserver

// AppendReply answers an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Record is one record of a ReadReply. Data travels as base64.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply answers a read.
type ReadReply struct {
	// First is the lowest retained offset; it equals End when nothing is kept.
	First int64 `json:"first"`
	// Next is where the following read starts.
	Next int64 `json:"next"`
	// End is the offset that the next append will get.
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// RangeReply answers a read outside the retained range.
type RangeReply struct {
	First int64 `json:"first"`
	End   int64 `json:"end"`
}

// Faults is what is wrong with the service just now.
type Faults struct {
	// Outage answers everything with 503 and Retry-After, without effect.
	Outage bool `json:"outage"`
	// Cut closes the connection of every request before it has an effect. A
	// caller can't tell this from a lost reply.
	Cut bool `json:"cut"`
	// DelayMS holds every request back before it has an effect, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseNextReplies is how many appends still take effect without a reply.
	LoseNextReplies int `json:"lose_next_replies"`
	// TruncateBelow drops, once, each named stream's records below the offset.
	TruncateBelow map[string]int64 `json:"truncate_below,omitempty"`
	// RetentionRecords replaces Options.RetentionRecords when set.
	RetentionRecords *int `json:"retention_records,omitempty"`
}
