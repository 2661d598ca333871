/**
Randomized simulation testing of the replicated log. A seed generates a list of
steps, the steps drive a simulated cluster, and the history checks the observed
events. A failing list of steps can be shrunk to a shorter one that fails the same
check.
*/

import {UnreachableError, type MemberId} from '@fireflyglade/model';
import {SimulatedCluster} from './simulated-cluster.js';
import type {SimulatedMember, InjectedFault} from './simulated-member.js';
import type {Step} from './steps.js';

/** The result of a run. */
export type RunResult = {
	/** The first failed check, with details; undefined if all checks passed. */
	readonly violation: string | undefined;
	readonly committed: number;
	readonly reads: number;
	readonly writes: number;
	readonly terms: number;
	/** Snapshots restored from a leader or from disk. */
	readonly snapshots: number;
	readonly memberChanges: number;
};

/** Options of a simulation run. */
export type RunOptions = {
	readonly members: number;
	readonly injectedFault: InjectedFault;
};

/** Runs steps until a check fails or all are done. */
export function runSteps(steps: readonly Step[], options: RunOptions): RunResult {
	const run = new SimulationRun(options);
	for (const step of steps) {
		run.perform(step);
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
		snapshots: history.restoredSnapshots,
		memberChanges: history.memberChanges,
	};
}

/** Removes steps as long as the run still fails the same check. */
export function shrinkSteps(steps: readonly Step[], options: RunOptions): readonly Step[] {
	const failedCheck = nameOfFailedCheck(runSteps(steps, options).violation);
	let kept = steps;
	for (let size = Math.ceil(kept.length / 2); size >= 1; size = Math.floor(size / 2)) {
		for (let start = 0; start < kept.length;) {
			const shorter = [...kept.slice(0, start), ...kept.slice(start + size)];
			if (nameOfFailedCheck(runSteps(shorter, options).violation) === failedCheck) {
				kept = shorter;
			} else {
				start += size;
			}
		}
	}

	return kept;
}

function nameOfFailedCheck(violation: string | undefined): string | undefined {
	return violation?.split(':')[0];
}

class SimulationRun {
	readonly #cluster: SimulatedCluster;

	constructor(options: RunOptions) {
		this.#cluster = new SimulatedCluster(options);
	}

	get history(): SimulatedCluster['history'] {
		return this.#cluster.history;
	}

	perform(step: Step): void {
		const cluster = this.#cluster;
		switch (step.kind) {
			case 'round': {
				cluster.round(step);
				return;
			}

			case 'propose': {
				cluster.propose(cluster.pick(step.pick), `c${step.command}`);
				return;
			}

			case 'read': {
				cluster.read(cluster.pick(step.pick), step.readId);
				return;
			}

			case 'crash': {
				cluster.crash(cluster.pick(step.pick), step.seed);
				return;
			}

			case 'restart': {
				cluster.restart(cluster.pick(step.pick), step.seed);
				return;
			}

			case 'wipe': {
				cluster.replaceDisk(cluster.pick(step.pick), step.seed);
				return;
			}

			case 'cut': {
				cluster.cut(cluster.pick(step.from), cluster.pick(step.to));
				return;
			}

			case 'isolate': {
				cluster.isolate(cluster.pick(step.pick));
				return;
			}

			case 'heal': {
				cluster.heal();
				return;
			}

			case 'jump': {
				cluster.pick(step.pick).jumpClock(step.milliseconds);
				return;
			}

			case 'compact': {
				cluster.compact(cluster.pick(step.pick));
				return;
			}

			case 'change-members': {
				this.#changeMembers(cluster.pick(step.pick), step.what);
				return;
			}

			case 'transfer': {
				cluster.transfer(cluster.pick(step.pick));
				return;
			}

			default: {
				throw new UnreachableError(step);
			}
		}
	}

	/** Checks that entries are committed again once all faults end; skipped if a disk was lost. */
	checkProgress(): void {
		const cluster = this.#cluster;
		if (this.history.violation !== undefined || cluster.hasLostDisks) {
			return;
		}

		cluster.heal();
		cluster.restartAll();
		const target = this.history.committedIndex + 2;
		const isDone = cluster.runUntil(() => this.history.committedIndex >= target || this.history.violation !== undefined, () => {
			cluster.proposeEverywhere('last');
		});
		if (!isDone) {
			this.history.report(`progress: no entry is committed after all faults have ended; ${cluster.describe()}`);
		}
	}

	/**
	Proposes a membership change if the member is the leader: promotes a learner that
	has caught up if there is one; otherwise removes a voter if `what` is even and there
	is more than one voter, or else adds a learner if the cluster may still grow.
	*/
	#changeMembers(member: SimulatedMember, what: number): void {
		const status = member.core?.status();
		if (status?.role !== 'leader') {
			return;
		}

		const {voters, learners} = status.members;
		const promoted = status.caughtUpLearners[0];
		if (promoted !== undefined) {
			this.#cluster.proposeMembers(member, {voters: [...voters, promoted], learners: learners.filter(learner => learner !== promoted)});
			return;
		}

		if (what % 2 === 0 && voters.length > 1) {
			const removed = voters[what % voters.length];
			this.#cluster.proposeMembers(member, {voters: voters.filter(voter => voter !== removed), learners});
			return;
		}

		if (this.#cluster.canAddMember) {
			const added: MemberId = this.#cluster.addJoiningMember(what).member;
			this.#cluster.proposeMembers(member, {voters, learners: [...learners, added]});
		}
	}
}
