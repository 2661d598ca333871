/**
A simulated cluster. The network between its members loses, delays, duplicates and
reorders messages, and blocks them in one direction or in both.
*/

import {SeededRandom, type MemberId} from '@fireflyglade/model';
import type {ConsensusMessage, ConsensusStatus, MemberSet} from '../types.js';
import {History} from './history.js';
import {SimulatedMember, type InjectedFault} from './simulated-member.js';
import type {RoundStep} from './steps.js';

/** Options of a simulated cluster. */
export type SimulatedClusterOptions = {
	readonly members: number;
	readonly injectedFault: InjectedFault;
};

const faultFreeRound: Omit<RoundStep, 'seed'> = {
	kind: 'round', milliseconds: 25, lossPercent: 0, delayPercent: 0, duplicatePercent: 0, slowDiskPercent: 0,
};
const maximumRounds = 400;
const maximumJoiningMembers = 4;

/** A cluster of simulated members and the network between them. */
export class SimulatedCluster {
	readonly history = new History();
	readonly #options: SimulatedClusterOptions;
	readonly #members: SimulatedMember[] = [];
	#messages: ConsensusMessage[] = [];
	readonly #blockedDirections = new Set<string>();
	readonly #membersWithLostDisks = new Set<MemberId>();
	readonly #stalledDisks = new Set<SimulatedMember>();
	#time = 0;

	constructor(options: SimulatedClusterOptions) {
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
		return this.#membersWithLostDisks.size > 0;
	}

	get canAddMember(): boolean {
		return this.#members.length < this.#options.members + maximumJoiningMembers;
	}

	/** The leader with the highest term; undefined if there is no leader. */
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

	/** Picks a member by an arbitrary number. */
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

	addJoiningMember(seed: number): SimulatedMember {
		return this.#add(`m${this.#members.length + 1}` as MemberId, undefined, seed);
	}

	propose(member: SimulatedMember, commandId: string): void {
		this.history.beginWrite(commandId);
		member.propose(commandId, this.#time);
		this.#collectMessages(member);
	}

	proposeEverywhere(commandId: string): void {
		for (const member of this.#members) {
			this.propose(member, commandId);
		}
	}

	proposeMembers(member: SimulatedMember, members: MemberSet): void {
		member.proposeMembers(members, this.#time);
		this.#collectMessages(member);
	}

	read(member: SimulatedMember, readId: number): void {
		member.read(readId, this.#time);
		this.#collectMessages(member);
	}

	compact(member: SimulatedMember): void {
		member.compact(this.#time);
	}

	transfer(member: SimulatedMember): void {
		member.transfer(this.#time);
		this.#collectMessages(member);
	}

	crash(member: SimulatedMember, seed: number): void {
		member.crash(new SeededRandom(seed));
	}

	restart(member: SimulatedMember, seed: number): void {
		if (!member.isUp) {
			member.start(seed, this.#time);
		}
	}

	/** Starts all members that are down. */
	restartAll(): void {
		for (const [position, member] of this.#members.entries()) {
			this.restart(member, 1000 + position);
		}
	}

	/**
	Replaces the disk of a member with an empty one and restarts it. Does nothing
	unless another initial member keeps a disk with more than its own first entry:
	otherwise the members could form a new cluster, because no remaining disk would
	show that entries were committed.
	*/
	replaceDisk(member: SimulatedMember, seed: number, asJoining = seed % 2 === 0): void {
		const survivors = this.#members.filter(other => other !== member && other.isInitialMember && !this.#membersWithLostDisks.has(other.member));
		if (!survivors.some(survivor => survivor.writtenIndex > 1)) {
			return;
		}

		this.#membersWithLostDisks.add(member.member);
		member.crash(new SeededRandom(seed));
		member.replaceDisk(asJoining);
		member.start(seed, this.#time);
	}

	/** Completes no write of a member until its disk resumes. */
	stallDisk(member: SimulatedMember): void {
		this.#stalledDisks.add(member);
	}

	resumeDisk(member: SimulatedMember): void {
		this.#stalledDisks.delete(member);
	}

	/** Drops all messages from one member to another. */
	cut(from: SimulatedMember, to: SimulatedMember): void {
		this.#blockedDirections.add(`${from.member} ${to.member}`);
	}

	/** Drops all messages to and from a member. */
	isolate(member: SimulatedMember): void {
		for (const other of this.#members) {
			this.cut(member, other);
			this.cut(other, member);
		}
	}

	/** Delivers messages in all directions again. */
	heal(): void {
		this.#blockedDirections.clear();
	}

	/** Runs a number of rounds without faults. */
	runWithoutFaults(rounds: number): void {
		for (let number = 0; number < rounds; number++) {
			this.round({...faultFreeRound, seed: number});
		}
	}

	/** Runs rounds without faults until a condition holds; returns false if it does not hold after 400 rounds. */
	runUntil(condition: () => boolean, eachRound: () => void = () => undefined): boolean {
		for (let number = 0; number < maximumRounds; number++) {
			this.round({...faultFreeRound, seed: number});
			eachRound();
			if (condition()) {
				return true;
			}
		}

		return false;
	}

	/** Runs one round: advances time, ticks the members, delivers messages and completes writes. */
	round(step: RoundStep): void {
		const random = new SeededRandom(step.seed);
		this.#time += step.milliseconds;
		for (const member of this.#members) {
			member.tick(this.#time);
			this.#collectMessages(member);
		}

		this.#deliver(step, random);
		for (const member of this.#members) {
			if (random.nextInteger(100) >= step.slowDiskPercent && !this.#stalledDisks.has(member)) {
				member.finishWrite(this.#time);
			}

			this.#collectMessages(member);
		}

		this.#deliver(step, random);
	}

	#add(member: MemberId, initialMembers: MemberSet | undefined, seed: number): SimulatedMember {
		const simulated = new SimulatedMember(member, this.history, {injectedFault: this.#options.injectedFault, initialMembers});
		this.#members.push(simulated);
		simulated.start(seed, this.#time);
		return simulated;
	}

	#collectMessages(member: SimulatedMember): void {
		this.#messages.push(...member.takeMessages());
	}

	#deliver(step: RoundStep, random: SeededRandom): void {
		const messages = this.#messages;
		this.#messages = [];
		for (const message of messages) {
			if (this.#blockedDirections.has(`${message.from} ${message.to}`) || random.nextInteger(100) < step.lossPercent) {
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
				this.#collectMessages(member);
				return;
			}
		}
	}
}

function describeStatus(status: ConsensusStatus | undefined): string {
	return status === undefined ? 'is down' : JSON.stringify(status);
}
