package router

// Tuned values that no setting gives; none is taken from a deployment. Times are milliseconds.
const (
	// Free share of an endpoint (docs/design.md).
	fullQueueDelay     = 3000.0 // a queueing delay that means no free share
	staleZeroAge       = 2000.0 // a report of no free share that is older than this
	staleZeroFreeShare = 0.1    // counts as this free share
	probeInterval      = 1000.0 // between probes, where load reports come only with them

	// Time constants of exponential decay.
	rateWindow  = 5000.0 // of counts
	delayWindow = 2000.0 // of the delay estimate of an endpoint

	// Delay objective: the queueing delay to keep at endpoints.
	objectiveRetransmitFraction = 0.35  // of the retransmit interval
	objectiveLatencyFraction    = 0.15  // and at most of the shortest latency objective
	defaultDelayObjective       = 150.0 // where neither is known

	// Delay estimate, in multiples of the delay objective where no unit is given.
	maxDelayFactor    = 6.0     // no sample counts for more
	ownSampleLifetime = 500.0   // ms: a reported delay does not count so soon after a latency seen here
	overtakenFraction = 0.5     // an attempt sent so long before one that is answered is lost
	lossyThreshold    = 0.5     // recently lost attempts: above it a lone attempt in flight may be lost too
	maxUpdateInterval = 10000.0 // ms: the longest interval that an average of intervals takes in

	// Send rate. Changes are exponential, per second.
	rateGrowth          = 1.0   // at no queueing delay
	rateRecovery        = 3.0   // the same, up to half of the rate before the latest congestion
	rateDecline         = 0.7   // at twice the delay objective
	immediateCorrection = 0.5   // of tokens earned: weight of the present headroom
	minHeadroom         = -2.0  // a delay counts as no more than this many objectives too long
	minSendRate         = 0.001 // attempts a millisecond that an endpoint always gets from all gateways together
	maxOverRecentRate   = 3.0   // the rate is at most this multiple of what was sent recently
	maxEvenShares       = 1.2   // or of this gateway's even share of the endpoint's capacity
	minEvenShares       = 0.03  // and at least this part of that share
	tokenLifetime       = 500.0 // ms that a token is good for calls to another destination
	destinationCredit   = 1.0   // tokens in advance for calls to the destination while it has little load
	lightLoadFraction   = 0.4   // of the delay objective and of the reserve: less is little load

	// Agent capacity of an endpoint.
	loadDeviations  = 3.0  // standard deviations of its load that it keeps free
	reserveFraction = 0.03 // of its capacity: with less free the send rate falls
	minReserve      = 3.0  // but no less than this

	// Slow start.
	slowStartSafety        = 0.4 // of the permitted rate that is used
	slowStartProvenSafety  = 0.8 // the same once attempts are answered without delay
	slowStartTokenLifetime = 0.6 // of the overload window that a token is good

	// Admission queue and rejections.
	maxQueueingFraction = 0.45   // of the latency objective that a call may wait here
	lowWeightFraction   = 0.5    // of the mean weight: a call below it takes only lightly loaded endpoints
	retryAfterFraction  = 0.15   // of the latency objective: a rejected caller is asked back after this
	queueInterval       = 20.0   // ms between looks at the queue
	busyNumberPause     = 2000.0 // ms without attempts to a number that was found busy

	// Outliers and overloaded endpoints.
	failureAllowance = 3.0   // recent failures that may be chance
	minSuccessRatio  = 0.7   // of the best success rate: a destination below it is passed by
	overloadPause    = 400.0 // ms without attempts to an overloaded endpoint, longer where reports are rare
	overloadRateCut  = 0.7   // factor on its send rate
	stallThreshold   = 500.0 // ms without an event that may mean that the process stalled

	// Gossip.
	gossipInterval  = 200.0  // ms between messages
	gossipFanout    = 4      // receivers of each
	gossipDelayUnit = 10.0   // ms a unit of the encoded delay
	gossipThreshold = 2.0    // delay objectives by which a sample must surprise to be passed on
	gossipHoldDown  = 1000.0 // ms after news of an endpoint in which gossip of it is ignored
)
