/**
The failure detector of one node, after SWIM: it probes one member of its domain
at a time in shuffled order, asks a few others to probe a silent one, and
reports it as silent if none of them got an answer.
*/

import type {NodeId, RandomSource} from '@fireflyglade/model';
import {
	indirectProbeTimeoutMilliseconds, probeIntervalMilliseconds, probeTimeoutMilliseconds,
} from '../_lib/constants.js';

/** What the detector wants done. */
export type DetectorStep =
	| {readonly kind: 'probe'; readonly node: NodeId; readonly sequence: number}
	| {readonly kind: 'ask-others'; readonly node: NodeId; readonly sequence: number}
	| {readonly kind: 'silent'; readonly node: NodeId};

type Probe = {
	readonly node: NodeId;
	readonly sequence: number;
	readonly sentAt: number;
	askedOthers: boolean;
};

/** Shuffles a list. */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = random.nextInteger(index + 1);
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled;
}

/** Probes members one after the other. */
export class FailureDetector {
	readonly #random: RandomSource;
	#order: NodeId[] = [];
	#probe?: Probe;
	#nextProbeAt: number;
	#sequence = 0;

	constructor(random: RandomSource, now: number) {
		this.#random = random;
		this.#nextProbeAt = now;
	}

	/** Moves time on; `candidates` are the members that may be probed. */
	tick(candidates: () => readonly NodeId[], now: number): DetectorStep[] {
		const steps = this.#followUp(now);
		if (now < this.#nextProbeAt || this.#probe !== undefined) {
			return steps;
		}

		this.#nextProbeAt = now + probeIntervalMilliseconds;
		const node = this.#nextNode(candidates);
		if (node === undefined) {
			return steps;
		}

		this.#sequence++;
		this.#probe = {
			node, sequence: this.#sequence, sentAt: now, askedOthers: false,
		};
		return [...steps, {kind: 'probe', node, sequence: this.#sequence}];
	}

	/** Takes an answer to a probe, straight or through another member. */
	acknowledge(sequence: number): void {
		if (this.#probe?.sequence === sequence) {
			this.#probe = undefined;
		}
	}

	#followUp(now: number): DetectorStep[] {
		const probe = this.#probe;
		if (probe === undefined) {
			return [];
		}

		if (now - probe.sentAt >= indirectProbeTimeoutMilliseconds) {
			this.#probe = undefined;
			return [{kind: 'silent', node: probe.node}];
		}

		if (probe.askedOthers || now - probe.sentAt < probeTimeoutMilliseconds) {
			return [];
		}

		probe.askedOthers = true;
		return [{kind: 'ask-others', node: probe.node, sequence: probe.sequence}];
	}

	#nextNode(candidates: () => readonly NodeId[]): NodeId | undefined {
		const allowed = candidates();
		for (;;) {
			const node = this.#order.pop();
			if (node === undefined) {
				break;
			}

			if (allowed.includes(node)) {
				return node;
			}
		}

		this.#order = shuffle(allowed, this.#random);
		return this.#order.pop();
	}
}
