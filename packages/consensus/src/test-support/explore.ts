/**
Random search for a run that breaks a promise: a seed gives a list of steps, the
steps drive the members, and the history checks what comes about. A list that
fails is shrunk to a short one that fails in the same way.
*/

import {SeededRandom, UnreachableError, type MemberId} from '@fireflyglade/model';
import type {ConsensusMessage, MemberSet} from '../types.js';
import {History} from './history.js';
import {SimulatedMember, type Sabotage} from './simulated-member.js';

/** One step of a run; numbers pick among what there is at that moment. */
export type Step =
	| RoundStep
	| {readonly kind: 'propose'; readonly pick: number; readonly command: number}
	| {readonly kind: 'read'; readonly pick: number; readonly readId: number}
	| {readonly kind: 'crash'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'restart'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'wipe'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'cut'; readonly from: number; readonly to: number}
	| {readonly kind: 'isolate'; readonly pick: number}
	| {readonly kind: 'heal'}
	| {readonly kind: 'jump'; readonly pick: number; readonly milliseconds: number}
	| {readonly kind: 'compact'; readonly pick: number}
	| {readonly kind: 'change-members'; readonly pick: number; readonly what: number}
	| {readonly kind: 'transfer'; readonly pick: number};

/** Time passes, messages are delivered, and writes end. */
export type RoundStep = {
	readonly kind: 'round';
	readonly milliseconds: number;
	readonly seed: number;
	readonly lossPercent: number;
	readonly delayPercent: number;
	readonly duplicatePercent: number;
	readonly slowDiskPercent: number;
};

/** What a run came to. */
export type RunResult = {
	readonly violation: string | undefined;
	readonly committed: number;
	readonly reads: number;
	readonly writes: number;
	readonly terms: number;
};

/** Options of a run. */
export type RunOptions = {
	readonly members: number;
	readonly sabotage: Sabotage;
};

const stepCount = 600;
const commandCount = 30;

/** Makes the steps of a seed. */
export function makeSteps(seed: number): readonly Step[] {
	const random = new SeededRandom(seed);
	const steps: Step[] = [];
	const trouble = random.nextInteger(4);
	const mayWipe = random.nextInteger(4) === 0;
	for (let number = 0; number < stepCount; number++) {
		const step = makeStep(random, number, trouble);
		if (step.kind !== 'wipe' || mayWipe) {
			steps.push(step);
		}
	}

	return steps;
}

function makeStep(random: SeededRandom, number: number, trouble: number): Step {
	const pick = random.nextInteger(1000);
	const seed = random.nextInteger(2 ** 30);
	const dice = random.nextInteger(100);
	if (dice < 50) {
		const isCalm = random.nextInteger(4) >= trouble;
		return {
			kind: 'round',
			milliseconds: random.nextInteger(10) === 0 ? 300 : 30,
			seed,
			lossPercent: isCalm ? 0 : 20,
			delayPercent: isCalm ? 5 : 40,
			duplicatePercent: isCalm ? 0 : 10,
			slowDiskPercent: random.nextInteger(3) === 0 ? 60 : 5,
		};
	}

	const others: ReadonlyArray<readonly [number, Step]> = [
		[68, {kind: 'propose', pick, command: seed % commandCount}],
		[78, {kind: 'read', pick, readId: number}],
		[80, {kind: 'crash', pick, seed}],
		[86, {kind: 'restart', pick, seed}],
		[87, {kind: 'cut', from: pick, to: seed}],
		[88, {kind: 'isolate', pick}],
		[92, {kind: 'heal'}],
		[93, {kind: 'jump', pick, milliseconds: seed % 2000}],
		[95, {kind: 'compact', pick}],
		[98, {kind: 'change-members', pick, what: seed}],
		[99, {kind: 'transfer', pick}],
	];
	for (const [limit, step] of others) {
		if (dice < limit) {
			return step;
		}
	}

	return {kind: 'wipe', pick, seed};
}

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
	const {violation, committedIndex, endedReads, endedWrites, terms} = run.history;
	return {
		violation, committed: committedIndex, reads: endedReads, writes: endedWrites, terms,
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
	readonly history = new History();
	readonly #options: RunOptions;
	readonly #members: SimulatedMember[] = [];
	#messages: ConsensusMessage[] = [];
	readonly #cuts = new Set<string>();
	readonly #wiped = new Set<MemberId>();
	#time = 0;

	constructor(options: RunOptions) {
		this.#options = options;
		const voters: MemberId[] = [];
		for (let number = 1; number <= options.members; number++) {
			voters.push(`m${number}` as MemberId);
		}

		for (const [position, voter] of voters.entries()) {
			this.#add(voter, {voters, learners: []}, position + 1);
		}
	}

	take(step: Step): void {
		switch (step.kind) {
			case 'round': {
				this.#round(step);
				return;
			}

			case 'propose': {
				const commandId = `c${step.command}`;
				this.history.beginWrite(commandId);
				this.#pick(step.pick).propose(commandId, this.#time);
				return;
			}

			case 'read': {
				this.#pick(step.pick).read(step.readId, this.#time);
				return;
			}

			case 'crash': {
				this.#pick(step.pick).crash(new SeededRandom(step.seed));
				return;
			}

			case 'restart': {
				this.#restart(this.#pick(step.pick), step.seed);
				return;
			}

			case 'wipe': {
				this.#wipe(this.#pick(step.pick), step.seed);
				return;
			}

			case 'cut': {
				this.#cuts.add(`${this.#pick(step.from).member} ${this.#pick(step.to).member}`);
				return;
			}

			case 'isolate': {
				this.#isolate(this.#pick(step.pick).member);
				return;
			}

			case 'heal': {
				this.#cuts.clear();
				return;
			}

			case 'jump': {
				this.#pick(step.pick).jumpClock(step.milliseconds);
				return;
			}

			case 'compact': {
				this.#pick(step.pick).compact(this.#time);
				return;
			}

			case 'change-members': {
				this.#changeMembers(this.#pick(step.pick), step.what);
				return;
			}

			case 'transfer': {
				this.#pick(step.pick).transfer(this.#time);
				return;
			}

			default: {
				throw new UnreachableError(step);
			}
		}
	}

	/** Once all faults end, a quorum of members with their disks must commit again. */
	checkProgress(): void {
		if (this.history.violation !== undefined) {
			return;
		}

		this.#cuts.clear();
		for (const [position, member] of this.#members.entries()) {
			this.#restart(member, 1000 + position);
		}

		const before = this.history.committedIndex;
		for (let number = 0; number < 400 && this.history.violation === undefined; number++) {
			this.#calmRound(number);
			for (const member of this.#members) {
				member.propose('last', this.#time);
			}

			if (this.history.committedIndex > before + 1) {
				return;
			}
		}

		if (!this.#mayHaveLostQuorum()) {
			this.history.report(`progress: nothing is committed after all faults have ended; ${this.#describe()}`);
		}
	}

	#describe(): string {
		return this.#members.map(({member, core}) => `${member} ${JSON.stringify(core?.status())}`).join('; ');
	}

	#mayHaveLostQuorum(): boolean {
		return this.#wiped.size > 0;
	}

	#calmRound(seed: number): void {
		this.#round({
			kind: 'round', milliseconds: 25, seed, lossPercent: 0, delayPercent: 0, duplicatePercent: 0, slowDiskPercent: 0,
		});
	}

	#add(member: MemberId, initialMembers: MemberSet | undefined, seed: number): void {
		const simulated = new SimulatedMember(member, this.history, {sabotage: this.#options.sabotage, initialMembers});
		this.#members.push(simulated);
		simulated.start(seed, this.#time);
	}

	#pick(number: number): SimulatedMember {
		const member = this.#members[number % this.#members.length];
		if (member === undefined) {
			throw new RangeError('there are no members');
		}

		return member;
	}

	#restart(member: SimulatedMember, seed: number): void {
		if (!member.isUp) {
			member.start(seed, this.#time);
		}
	}

	/** One of the first members always keeps its disk: without any there is nothing to compare with. */
	#wipe(member: SimulatedMember, seed: number): void {
		const firstWithDisk = this.#members.filter(other => other.isFirstMember && !this.#wiped.has(other.member));
		if (firstWithDisk.length <= 1 && firstWithDisk[0] === member) {
			return;
		}

		this.#wiped.add(member.member);
		member.crash(new SeededRandom(seed));
		member.wipe();
		member.start(seed, this.#time);
	}

	#isolate(member: MemberId): void {
		for (const other of this.#members) {
			this.#cuts.add(`${member} ${other.member}`);
			this.#cuts.add(`${other.member} ${member}`);
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
			member.proposeMembers({voters: [...voters, promoted], learners: learners.filter(learner => learner !== promoted)}, this.#time);
			return;
		}

		if (what % 2 === 0 && voters.length > 1) {
			const removed = voters[what % voters.length];
			member.proposeMembers({voters: voters.filter(voter => voter !== removed), learners}, this.#time);
			return;
		}

		if (this.#members.length < this.#options.members + 4) {
			const added = `m${this.#members.length + 1}` as MemberId;
			this.#add(added, undefined, what);
			member.proposeMembers({voters, learners: [...learners, added]}, this.#time);
		}
	}

	#round(step: RoundStep): void {
		const random = new SeededRandom(step.seed);
		this.#time += step.milliseconds;
		for (const member of this.#members) {
			member.tick(this.#time);
			this.#collect(member);
		}

		this.#deliver(step, random);
		for (const member of this.#members) {
			if (random.nextInteger(100) >= step.slowDiskPercent) {
				member.finishWrite(this.#time);
			}

			this.#collect(member);
		}

		this.#deliver(step, random);
	}

	#collect(member: SimulatedMember): void {
		this.#messages.push(...member.takeMessages());
	}

	/** Delivers each message once at most a round, in random order where there are delays. */
	#deliver(step: RoundStep, random: SeededRandom): void {
		const messages = this.#messages;
		this.#messages = [];
		for (const message of messages) {
			if (this.#cuts.has(`${message.from} ${message.to}`) || random.nextInteger(100) < step.lossPercent) {
				continue;
			}

			if (random.nextInteger(100) < step.delayPercent) {
				this.#messages.push(message);
				continue;
			}

			if (random.nextInteger(100) < step.duplicatePercent) {
				this.#messages.push(message);
			}

			this.#receive(message);
		}
	}

	#receive(message: ConsensusMessage): void {
		for (const member of this.#members) {
			if (member.member === message.to && member.isUp) {
				member.receive(message, this.#time);
				this.#collect(member);
				return;
			}
		}
	}
}
