package router

// Tuned values for which there is no setting; none is taken from a deployment. Times are milliseconds.
const (
	// Free fraction of an endpoint's capacity (docs/design.md). A reported fraction of 0 is replaced by
	// staleZeroFreeFraction if the report is older than staleZeroAge.
	fullQueueDelay        = 3000.0 // queueing delay at which the free fraction is 0
	staleZeroAge          = 2000.0
	staleZeroFreeFraction = 0.1
	probeInterval         = 1000.0 // between probes, where load reports are sent only in response to probes

	// Time constants of exponential decay.
	rateWindow  = 5000.0 // for counts of calls and attempts
	delayWindow = 2000.0 // for the delay estimate of an endpoint

	// Target for the queueing delay at endpoints. A setup that waits for the retransmit interval is sent again,
	// and each repeat is work for the endpoint.
	targetRetransmitFraction = 0.35  // of the retransmit interval
	defaultTargetDelay       = 150.0 // where setups are not retransmitted

	// Delay estimate, in multiples of the target delay unless a unit is given.
	maxDelayFactor    = 6.0     // upper bound of a sample
	ownSampleLifetime = 500.0   // ms after a latency was measured here in which reported delays are ignored
	overtakenFraction = 0.5     // an attempt sent this long before one that is answered now is lost
	lossyThreshold    = 0.5     // recently lost attempts above which a lone attempt in flight may be lost too
	maxUpdateInterval = 10000.0 // ms: upper bound of an interval in the mean interval of load updates

	// Send rate. The rate changes exponentially; the factors in the exponent are per second.
	rateGrowth   = 1.0 // at no queueing delay
	rateRecovery = 3.0 // at no queueing delay, up to half of the rate before the latest congestion
	rateDecline  = 0.7 // at twice the target delay

	immediateCorrection = 0.5   // weight of the current headroom in the tokens earned
	minHeadroom         = -2.0  // lower bound: a delay counts as at most this many target delays too long
	minSendRate         = 0.001 // lower bound for all gateways together, attempts per ms to an endpoint
	maxOverRecentRate   = 3.0   // the rate is at most this multiple of the recent rate
	maxEvenShares       = 1.2   // or of this gateway's even share of the endpoint's capacity, if that is more
	minEvenShares       = 0.03  // the rate is at least this fraction of the even share
	tokenLifetime       = 500.0 // ms for which a token is valid for calls to another destination
	destinationCredit   = 1.0   // tokens in advance for calls to their destination while it has light load
	lightLoadFraction   = 0.4   // light load is below this fraction of the target delay and of the reserve

	// Agent capacity of an endpoint.
	loadDeviations  = 3.0  // standard deviations of its load that are kept free
	reserveFraction = 0.03 // of its capacity: with fewer agents free the send rate falls
	minReserve      = 3.0  // lower bound of that reserve, in agents

	// Slow start.
	slowStartSafety        = 0.4 // fraction of the permitted rate that is used
	slowStartProvenSafety  = 0.8 // the same once attempts are answered without delay
	slowStartTokenLifetime = 0.6 // fraction of the overload window for which a token is valid

	// Queue and busy numbers.
	queueInterval       = 20.0    // ms between checks of the queue
	busyNumberPause     = 2000.0  // ms without attempts to a number that answered busy
	busyNumberRetention = 10000.0 // ms for which a number that is no longer paused is remembered

	// Outliers and overloaded endpoints.
	failureAllowance = 3.0   // recent failures that may be chance
	minSuccessRatio  = 0.7   // of the best success rate: a destination below it is an outlier
	overloadPause    = 400.0 // ms without attempts to an overloaded endpoint, longer if load updates are rare
	overloadRateCut  = 0.7   // factor applied to the send rate of an overloaded endpoint
	stallThreshold   = 500.0 // ms without an event after which the process may have stalled

	// Gossip.
	gossipInterval  = 200.0  // ms between messages
	gossipFanout    = 4      // random receivers of each message
	gossipDelayUnit = 10.0   // ms per unit of the encoded delay
	gossipThreshold = 2.0    // target delays by which a sample must differ from the estimate to be sent
	gossipHoldDown  = 1000.0 // ms after a load update of an endpoint in which gossip about it is ignored
)
