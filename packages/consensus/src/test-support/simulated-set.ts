/**
Several members with a network between them that loses, delays, repeats and
reorders messages, and blocks them in one direction or both.
*/

import {SeededRandom, type MemberId} from '@fireflyglade/model';
import type {ConsensusMessage, ConsensusStatus, MemberSet} from '../types.js';
import {History} from './history.js';
import {SimulatedMember, type Sabotage} from './simulated-member.js';
import type {RoundStep} from './steps.js';

/** Options of a set. */
export type SimulatedSetOptions = {
	readonly members: number;
	readonly sabotage: Sabotage;
};

const calmRound: Omit<RoundStep, 'seed'> = {
	kind: 'round', milliseconds: 25, lossPercent: 0, delayPercent: 0, duplicatePercent: 0, slowDiskPercent: 0,
};
const maximumRounds = 400;
const maximumJoining = 4;

/** Members and the network between them. */
export class SimulatedSet {
	readonly history = new History();
	readonly #options: SimulatedSetOptions;
	readonly #members: SimulatedMember[] = [];
	#messages: ConsensusMessage[] = [];
	readonly #cuts = new Set<string>();
	readonly #wiped = new Set<MemberId>();
	#time = 0;

	constructor(options: SimulatedSetOptions) {
		this.#options = options;
		const voters: MemberId[] = [];
		for (let number = 1; number <= options.members; number++) {
			voters.push(`m${number}` as MemberId);
		}

		for (const [position, voter] of voters.entries()) {
			this.#add(voter, {voters, learners: []}, position + 1);
		}
	}

	get members(): readonly SimulatedMember[] {
		return this.#members;
	}

	get hasLostDisks(): boolean {
		return this.#wiped.size > 0;
	}

	get mayGrow(): boolean {
		return this.#members.length < this.#options.members + maximumJoining;
	}

	/** The leader of the highest term, if one leads. */
	get leader(): SimulatedMember | undefined {
		let best: {readonly member: SimulatedMember; readonly term: number} | undefined;
		for (const member of this.#members) {
			const status = member.core?.status();
			if (status?.role === 'leader' && status.term > (best?.term ?? 0)) {
				best = {member, term: status.term};
			}
		}

		return best?.member;
	}

	/** Picks a member by any number. */
	pick(number: number): SimulatedMember {
		const member = this.#members[number % this.#members.length];
		if (member === undefined) {
			throw new RangeError('there are no members');
		}

		return member;
	}

	describe(): string {
		return this.#members.map(({member, core}) => `${member} ${describeStatus(core?.status())}`).join('; ');
	}

	addJoining(seed: number): SimulatedMember {
		return this.#add(`m${this.#members.length + 1}` as MemberId, undefined, seed);
	}

	propose(member: SimulatedMember, commandId: string): void {
		this.history.beginWrite(commandId);
		member.propose(commandId, this.#time);
		this.#collect(member);
	}

	proposeEverywhere(commandId: string): void {
		for (const member of this.#members) {
			this.propose(member, commandId);
		}
	}

	proposeMembers(member: SimulatedMember, members: MemberSet): void {
		member.proposeMembers(members, this.#time);
		this.#collect(member);
	}

	read(member: SimulatedMember, readId: number): void {
		member.read(readId, this.#time);
		this.#collect(member);
	}

	compact(member: SimulatedMember): void {
		member.compact(this.#time);
	}

	transfer(member: SimulatedMember): void {
		member.transfer(this.#time);
		this.#collect(member);
	}

	crash(member: SimulatedMember, seed: number): void {
		member.crash(new SeededRandom(seed));
	}

	restart(member: SimulatedMember, seed: number): void {
		if (!member.isUp) {
			member.start(seed, this.#time);
		}
	}

	restartAll(): void {
		for (const [position, member] of this.#members.entries()) {
			this.restart(member, 1000 + position);
		}
	}

	/**
	Replaces the disk of a member by an empty one and restarts it. One of the first
	members always keeps a disk that holds more than what it wrote itself: otherwise
	nothing is left that a new beginning could contradict.
	*/
	wipe(member: SimulatedMember, seed: number, asJoining = seed % 2 === 0): void {
		const witnesses = this.#members.filter(other => other !== member && other.isFirstMember && !this.#wiped.has(other.member));
		if (!witnesses.some(witness => witness.writtenIndex > 1)) {
			return;
		}

		this.#wiped.add(member.member);
		member.crash(new SeededRandom(seed));
		member.wipe(asJoining);
		member.start(seed, this.#time);
	}

	/** Blocks what one member sends to another. */
	cut(from: SimulatedMember, to: SimulatedMember): void {
		this.#cuts.add(`${from.member} ${to.member}`);
	}

	/** Blocks all to and from a member, silently. */
	isolate(member: SimulatedMember): void {
		for (const other of this.#members) {
			this.cut(member, other);
			this.cut(other, member);
		}
	}

	heal(): void {
		this.#cuts.clear();
	}

	/** Lets time pass without faults. */
	runCalm(rounds: number): void {
		for (let number = 0; number < rounds; number++) {
			this.round({...calmRound, seed: number});
		}
	}

	/** Lets time pass without faults until something holds; false if it never does. */
	runUntil(holds: () => boolean, eachRound: () => void = () => undefined): boolean {
		for (let number = 0; number < maximumRounds; number++) {
			this.round({...calmRound, seed: number});
			eachRound();
			if (holds()) {
				return true;
			}
		}

		return false;
	}

	/** Lets time pass: ticks, deliveries, ends of writes. */
	round(step: RoundStep): void {
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

	#add(member: MemberId, initialMembers: MemberSet | undefined, seed: number): SimulatedMember {
		const simulated = new SimulatedMember(member, this.history, {sabotage: this.#options.sabotage, initialMembers});
		this.#members.push(simulated);
		simulated.start(seed, this.#time);
		return simulated;
	}

	#collect(member: SimulatedMember): void {
		this.#messages.push(...member.takeMessages());
	}

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

function describeStatus(status: ConsensusStatus | undefined): string {
	return status === undefined ? 'is down' : JSON.stringify(status);
}
