package coordination

import (
	"time"
)

const (
	// documentKind and documentName identify the document in the store.
	documentKind = "coordination"
	documentName = "main"

	// HoldTime is how long a target holds keys after a grant. When a target stops answering, no other target can be granted
	// its keys for this long.
	HoldTime = 3 * time.Second
	// LeaseTime is how long a coordinator continues after its last confirmation by the store. Outages of the store last up
	// to 9 s.
	LeaseTime = 10 * time.Second
	// minConfirmInterval is the time between two confirmations that grants wait for.
	minConfirmInterval = 50 * time.Millisecond
	// confirmTimeout limits a confirmation by the store, which takes up to 250 ms when it is slow.
	confirmTimeout = 700 * time.Millisecond
	// confirmRetryInterval is the time between confirmations while the store does not answer.
	confirmRetryInterval = 500 * time.Millisecond
	// watcherTakeoverAge is the age of the coordinator's last confirmation beyond which a host that watches and
	// reaches the store takes over.
	watcherTakeoverAge = confirmInterval + confirmTimeout
	// yieldInterval is the time between attempts to ask the previous coordinator to stop.
	yieldInterval = 200 * time.Millisecond
	// confirmInterval is the time between two confirmations by the store.
	confirmInterval = 2 * time.Second
	// takeoverAge is the age of the coordinator's last confirmation beyond which any host tries to take over.
	takeoverAge = 2*confirmInterval + 500*time.Millisecond
	// minReportWait is how long a report waits for a change in a small fleet. In larger fleets it waits reportWaitPerHost
	// times the number of hosts, up to maxReportWait: the coordinator plans with the loads that reports bring, and
	// hosts notice a lost coordinator by its missing replies.
	minReportWait     = 400 * time.Millisecond
	maxReportWait     = 900 * time.Millisecond
	reportWaitPerHost = 12 * time.Millisecond
	// viewIntervalPerHost times the number of hosts is the minimum time between two views. Assuming that a reply takes
	// the coordinator 0.15 ms, replies with new views use less than a fifth of a core.
	viewIntervalPerHost = time.Millisecond
	// syncMargin is how long a reply may take beyond the wait of its report. The latency between hosts is a few milliseconds.
	syncMargin = 700 * time.Millisecond
	// initialSyncMargin replaces syncMargin until a coordinator has replied once. After the loss of all hosts, the
	// document may name one that no longer exists.
	initialSyncMargin = 350 * time.Millisecond
	// initialSyncMarginPerHost is added for each host: a new coordinator sends the whole view to all hosts at once.
	initialSyncMarginPerHost = time.Millisecond
	// confirmListsTimeout is how long a starting host waits for a coordinator to confirm its preloaded lists before it
	// lists the objects itself. After the loss of all hosts a coordinator replies within 0.5 s.
	confirmListsTimeout = 500 * time.Millisecond
	// initialListTimeout is how long a starting host waits for its lists from the store before it reports. The store
	// answers within a few milliseconds.
	initialListTimeout = 400 * time.Millisecond
	// replyOverdueAfter is the time since the last reply of a coordinator after which a host watches the store itself.
	// A report waits for up to maxReportWait, and changes must be in force within 2 to 3 s.
	replyOverdueAfter = 1200 * time.Millisecond
	// retryInterval is the time until the next attempt after a failed takeover or an answer from a host that does not
	// coordinate. The first report without a reply is repeated after a third of it.
	retryInterval = 150 * time.Millisecond
	// storeRetryInterval is the time between attempts to reach a store that does not answer, or to take over from a
	// coordinator that does not reply. Every call to the store has a cost.
	storeRetryInterval = 700 * time.Millisecond
	// isolationBackoff is how long a host that could not reach most targets does not take over. Other hosts take over
	// within 2 s.
	isolationBackoff = 3 * time.Second
	// candidacyPollInterval is the time between two reads of the document by a host that may not take over.
	candidacyPollInterval = 300 * time.Millisecond
	// maxFailures is the number of consecutive reports without a reply after which a host tries to take over.
	maxFailures = 2
	// takeoverSpread is the maximum random delay that keeps hosts from taking over at the same time.
	takeoverSpread = 150 * time.Millisecond
)
