/**
The failure detector of one node, based on the SWIM protocol: it probes one member of
its domain at a time, in random order. If the member does not acknowledge the probe, it
asks a few other members to probe it, and reports it as silent if none of them relays
an acknowledgement.
*/

import type {NodeId, RandomSource} from '@fireflyglade/model';
import {
	indirectProbeTimeoutMilliseconds, probeIntervalMilliseconds, probeTimeoutMilliseconds,
} from '../_lib/constants.js';

/** An action that the caller has to perform for the detector. */
export type DetectorAction =
	| {readonly kind: 'probe'; readonly node: NodeId; readonly sequence: number}
	| {readonly kind: 'ask-others'; readonly node: NodeId; readonly sequence: number}
	| {readonly kind: 'silent'; readonly node: NodeId};

type Probe = {
	readonly node: NodeId;
	readonly sequence: number;
	readonly sentAt: number;
	hasAskedOthers: boolean;
};

/** Returns a shuffled copy of a list. */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = random.nextInteger(index + 1);
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled;
}

/** Probes members one at a time and detects those that do not acknowledge. */
export class FailureDetector {
	readonly #random: RandomSource;
	#probeOrder: NodeId[] = [];
	#probe?: Probe;
	#nextProbeAt: number;
	#sequence = 0;

	constructor(random: RandomSource, now: number) {
		this.#random = random;
		this.#nextProbeAt = now;
	}

	/** Returns the actions that are due; `candidates` returns the members that may be probed. */
	tick(candidates: () => readonly NodeId[], now: number): DetectorAction[] {
		const actions = this.#checkProbeTimeouts(now);
		if (now < this.#nextProbeAt || this.#probe !== undefined) {
			return actions;
		}

		this.#nextProbeAt = now + probeIntervalMilliseconds;
		const node = this.#nextNode(candidates);
		if (node === undefined) {
			return actions;
		}

		this.#sequence++;
		this.#probe = {
			node, sequence: this.#sequence, sentAt: now, hasAskedOthers: false,
		};
		return [...actions, {kind: 'probe', node, sequence: this.#sequence}];
	}

	/** Handles the acknowledgement of a probe, received directly or through another member. */
	acknowledge(sequence: number): void {
		if (this.#probe?.sequence === sequence) {
			this.#probe = undefined;
		}
	}

	#checkProbeTimeouts(now: number): DetectorAction[] {
		const probe = this.#probe;
		if (probe === undefined) {
			return [];
		}

		if (now - probe.sentAt >= indirectProbeTimeoutMilliseconds) {
			this.#probe = undefined;
			return [{kind: 'silent', node: probe.node}];
		}

		if (probe.hasAskedOthers || now - probe.sentAt < probeTimeoutMilliseconds) {
			return [];
		}

		probe.hasAskedOthers = true;
		return [{kind: 'ask-others', node: probe.node, sequence: probe.sequence}];
	}

	#nextNode(candidates: () => readonly NodeId[]): NodeId | undefined {
		const allowed = candidates();
		for (;;) {
			const node = this.#probeOrder.pop();
			if (node === undefined) {
				break;
			}

			if (allowed.includes(node)) {
				return node;
			}
		}

		this.#probeOrder = shuffle(allowed, this.#random);
		return this.#probeOrder.pop();
	}
}
