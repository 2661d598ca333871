/**
The score of a target for a request with a latency objective: the probability that the
target meets the objective, less the price of the capacity that the request takes there.

Prices make requests that meet their objective at several targets go to a slower target
with room, so that fast targets stay free, and keep all targets in use when room is short.
*/

/** Load from which requests are expected to wait. */
const waitingLoad = 1;
/** Width of the range of loads in which the expected wait rises from 0 to its full slope. */
const waitingRange = 0.4;
/** Part of the service time in which half of the requests have completed; the mean is longer, because service times have a long tail. */
const medianShare = 0.85;
/** Price of a target that is filled to its limit; the price rises with the square of the load up to there. */
const loadPrice = 0.1;
/** Price of each further multiple of the limit that waits. */
const queuePrice = 0.3;
/** Price of a target of the service's mean speed. It is low, because time matters to callers of call chains also within the objective of one call. */
const speedPrice = 0.05;
/** Speeds relative to the mean between which the price of speed differs. */
const minimumSpeed = 0.5;
const maximumSpeed = 2;
/** Price of a target that loses all its attempts; a lost attempt takes a retry or fails the whole call chain, which is worse than a late response. */
const lossPrice = 0.8;
/** Price of a target in another failure domain beyond the latency of the way there. */
const crossDomainPrice = 0.05;

/** What the score of a target depends on. */
export type Candidate = {
	/** Expected service time of the request at the target, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Mean service time of the request at the service's targets, in milliseconds. */
	readonly meanMilliseconds: number;
	/** Requests at the target relative to its concurrency limit, with this request. */
	readonly load: number;
	/** Share of recent attempts at the target that succeeded. */
	readonly successShare: number;
	/** Extra latency of the way to the target, in milliseconds; 0 in the own failure domain. */
	readonly crossDomainMilliseconds: number;
};

/** Returns the expected wait at a target in multiples of its service time. */
export function expectWait(load: number): number {
	const excess = load - waitingLoad;
	if (excess <= 0) {
		return 0;
	}

	return excess < waitingRange ? excess * excess / (2 * waitingRange) : excess - (waitingRange / 2);
}

/** Returns the probability that a request is answered within `remainingMilliseconds`; service times are taken to be log-logistic. */
export function getObjectiveProbability({serviceMilliseconds, load, crossDomainMilliseconds}: Candidate, remainingMilliseconds: number): number {
	const left = remainingMilliseconds - crossDomainMilliseconds - (expectWait(load) * serviceMilliseconds);
	if (left <= 0) {
		return 0;
	}

	const multiple = left / (medianShare * serviceMilliseconds);
	// The log-logistic distribution has the shape 3. The power is written as a product, because `**` made a choice with its report a tenth slower.
	const odds = multiple * multiple * multiple;
	return odds / (1 + odds);
}

/** Returns the score of a target; the candidate with the highest score is chosen. */
export function scoreCandidate(candidate: Candidate, remainingMilliseconds: number): number {
	const {serviceMilliseconds, meanMilliseconds, load, successShare, crossDomainMilliseconds} = candidate;
	const speed = Math.min(maximumSpeed, Math.max(minimumSpeed, meanMilliseconds / serviceMilliseconds));
	const filled = Math.min(1, load);
	const price = (loadPrice * filled * filled)
		+ (queuePrice * Math.max(0, load - 1))
		+ (speedPrice * speed)
		+ (lossPrice * (1 - successShare))
		+ (crossDomainMilliseconds > 0 ? crossDomainPrice : 0);
	return (getObjectiveProbability(candidate, remainingMilliseconds) * successShare) - price;
}
