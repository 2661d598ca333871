/**
Random search for a run that breaks a promise: a seed gives a list of steps, the
steps drive the members, and the history checks what comes about. A list that
fails is shrunk to a short one that fails in the same way.
*/

import {UnreachableError, type MemberId} from '@fireflyglade/model';
import {SimulatedSet} from './simulated-set.js';
import type {SimulatedMember, Sabotage} from './simulated-member.js';
import type {Step} from './steps.js';

/** What a run came to. */
export type RunResult = {
	readonly violation: string | undefined;
	readonly committed: number;
	readonly reads: number;
	readonly writes: number;
	readonly terms: number;
	/** Snapshots taken over from a leader or from the disk. */
	readonly snapshots: number;
	readonly memberChanges: number;
};

/** Options of a run. */
export type RunOptions = {
	readonly members: number;
	readonly sabotage: Sabotage;
};

/** Runs steps and gives the first check that failed. */
export function runSteps(steps: readonly Step[], options: RunOptions): RunResult {
	const run = new Run(options);
	for (const step of steps) {
		run.take(step);
		if (run.history.violation !== undefined) {
			break;
		}
	}

	run.checkProgress();
	const {history} = run;
	return {
		violation: history.violation,
		committed: history.committedIndex,
		reads: history.endedReads,
		writes: history.endedWrites,
		terms: history.terms,
		snapshots: history.snapshotsTaken,
		memberChanges: history.memberChanges,
	};
}

/** Removes steps as long as the run still fails by the same check. */
export function shrinkSteps(steps: readonly Step[], options: RunOptions): readonly Step[] {
	const wanted = checkName(runSteps(steps, options).violation);
	let kept = steps;
	for (let size = Math.ceil(kept.length / 2); size >= 1; size = Math.floor(size / 2)) {
		for (let start = 0; start < kept.length;) {
			const shorter = [...kept.slice(0, start), ...kept.slice(start + size)];
			if (checkName(runSteps(shorter, options).violation) === wanted) {
				kept = shorter;
			} else {
				start += size;
			}
		}
	}

	return kept;
}

function checkName(violation: string | undefined): string | undefined {
	return violation?.split(':')[0];
}

class Run {
	readonly #set: SimulatedSet;

	constructor(options: RunOptions) {
		this.#set = new SimulatedSet(options);
	}

	get history(): SimulatedSet['history'] {
		return this.#set.history;
	}

	take(step: Step): void {
		const set = this.#set;
		switch (step.kind) {
			case 'round': {
				set.round(step);
				return;
			}

			case 'propose': {
				set.propose(set.pick(step.pick), `c${step.command}`);
				return;
			}

			case 'read': {
				set.read(set.pick(step.pick), step.readId);
				return;
			}

			case 'crash': {
				set.crash(set.pick(step.pick), step.seed);
				return;
			}

			case 'restart': {
				set.restart(set.pick(step.pick), step.seed);
				return;
			}

			case 'wipe': {
				set.wipe(set.pick(step.pick), step.seed);
				return;
			}

			case 'cut': {
				set.cut(set.pick(step.from), set.pick(step.to));
				return;
			}

			case 'isolate': {
				set.isolate(set.pick(step.pick));
				return;
			}

			case 'heal': {
				set.heal();
				return;
			}

			case 'jump': {
				set.pick(step.pick).jumpClock(step.milliseconds);
				return;
			}

			case 'compact': {
				set.compact(set.pick(step.pick));
				return;
			}

			case 'change-members': {
				this.#changeMembers(set.pick(step.pick), step.what);
				return;
			}

			case 'transfer': {
				set.transfer(set.pick(step.pick));
				return;
			}

			default: {
				throw new UnreachableError(step);
			}
		}
	}

	/** Once all faults end, a quorum of members with their disks must commit again. */
	checkProgress(): void {
		const set = this.#set;
		if (this.history.violation !== undefined || set.hasLostDisks) {
			return;
		}

		set.heal();
		set.restartAll();
		const target = this.history.committedIndex + 2;
		const isDone = set.runUntil(() => this.history.committedIndex >= target || this.history.violation !== undefined, () => {
			set.proposeEverywhere('last');
		});
		if (!isDone) {
			this.history.report(`progress: nothing is committed after all faults have ended; ${set.describe()}`);
		}
	}

	#changeMembers(member: SimulatedMember, what: number): void {
		const status = member.core?.status();
		if (status?.role !== 'leader') {
			return;
		}

		const {voters, learners} = status.members;
		const promoted = status.caughtUpLearners[0];
		if (promoted !== undefined) {
			this.#set.proposeMembers(member, {voters: [...voters, promoted], learners: learners.filter(learner => learner !== promoted)});
			return;
		}

		if (what % 2 === 0 && voters.length > 1) {
			const removed = voters[what % voters.length];
			this.#set.proposeMembers(member, {voters: voters.filter(voter => voter !== removed), learners});
			return;
		}

		if (this.#set.mayGrow) {
			const added: MemberId = this.#set.addJoining(what).member;
			this.#set.proposeMembers(member, {voters, learners: [...learners, added]});
		}
	}
}
