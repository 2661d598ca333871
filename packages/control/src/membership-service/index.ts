/**
Changes the membership of the replicated log, one change after the other. A new
member is added as a learner that receives the log, and becomes a voter once it has
caught up.
*/

import {
	UnreachableError, type Clock, type MemberId,
} from '@fireflyglade/model';
import type {MemberSet, MembershipChangeRefusal} from '@fireflyglade/consensus';
import {RpcError, type RpcClient} from '@fireflyglade/transport';
import {
	changeMembersMethod, type ChangeMembersAnswer, type ChangeMembersRequest,
} from '../_lib/control-rpc.js';
import {MembershipChangeRefusedError, NoQuorumError} from '../errors/index.js';
import type {MemberDirectory} from '../member-directory/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the membership service. */
export type MembershipServiceOptions = {
	readonly log: ReplicatedLog;
	readonly directory: MemberDirectory;
	readonly client: RpcClient;
	readonly clock: Clock;
};

type Refusal = Extract<ChangeMembersAnswer, {kind: 'refused'}>['reason'];

const changeTimeoutMilliseconds = 30_000;
const retryIntervalMilliseconds = 50;

/** Temporary refusals, after which the change is retried. */
const temporaryRefusals: ReadonlySet<Refusal> = new Set<MembershipChangeRefusal>(['change-pending', 'leader-not-ready', 'not-caught-up']);

const refusalMessages: Readonly<Record<Refusal, string>> = {
	'change-pending': 'another change of the members is under way',
	'leader-not-ready': 'the leader is not ready yet',
	'not-one-step': 'members change one at a time',
	'not-caught-up': 'the new member has not received the whole log in time',
	'no-voter-left': 'the last member that votes can\'t be removed',
	'not-introduced': 'the new member has not introduced itself: start it with "join" first',
	'not-a-member': 'there is no such member',
};

function withoutMember(members: readonly MemberId[], member: MemberId): readonly MemberId[] {
	return members.filter(other => other !== member);
}

/** Returns the next member set on the way to the requested change, or `undefined` if the change is complete. */
export function nextMemberSet(members: MemberSet, {action, member}: ChangeMembersRequest): MemberSet | undefined {
	switch (action) {
		case 'add': {
			if (members.voters.includes(member)) {
				return undefined;
			}

			return members.learners.includes(member)
				? {voters: [...members.voters, member], learners: withoutMember(members.learners, member)}
				: {voters: members.voters, learners: [...members.learners, member]};
		}

		case 'remove': {
			return members.voters.includes(member) || members.learners.includes(member)
				? {voters: withoutMember(members.voters, member), learners: withoutMember(members.learners, member)}
				: undefined;
		}

		default: {
			throw new UnreachableError(action);
		}
	}
}

/** Changes the membership of the replicated log. */
export class MembershipService {
	readonly #options: MembershipServiceOptions;

	constructor(options: MembershipServiceOptions) {
		this.#options = options;
	}

	/**
	Adds or removes a member. The request is forwarded if another process is the leader.

	@returns The voters after the change.
	@throws {MembershipChangeRefusedError} The change was refused, or was still refused temporarily at the timeout.
	@throws {NoQuorumError} The change was not completed in time; a repeated request continues it.
	*/
	async change(request: ChangeMembersRequest): Promise<readonly MemberId[]> {
		const {clock} = this.#options;
		const deadline = clock.now() + changeTimeoutMilliseconds;
		for (;;) {
			const answer = await this.#attempt(request);
			if (answer?.kind === 'done') {
				return answer.voters;
			}

			if (answer?.kind === 'refused' && (!temporaryRefusals.has(answer.reason) || clock.now() >= deadline)) {
				throw new MembershipChangeRefusedError(refusalMessages[answer.reason]);
			}

			if (clock.now() >= deadline) {
				throw new NoQuorumError('the members were not changed in time');
			}

			await this.#waitBeforeRetry();
		}
	}

	/** Proposes the next member set on the way to the requested change if this process is the leader; also answers forwarded requests. */
	async answer(request: ChangeMembersRequest): Promise<ChangeMembersAnswer> {
		const status = this.#options.log.status();
		if (status.role !== 'leader') {
			return {kind: 'not-leader', leader: status.leader};
		}

		const refusal = this.#findRefusal(status.members, request);
		if (refusal !== undefined) {
			return {kind: 'refused', reason: refusal};
		}

		const next = nextMemberSet(status.members, request);
		return next === undefined ? {kind: 'done', voters: status.members.voters} : this.#propose(next);
	}

	#findRefusal(members: MemberSet, {action, member}: ChangeMembersRequest): Refusal | undefined {
		return action === 'add' && !members.voters.includes(member) && !this.#options.directory.addresses.has(member)
			? 'not-introduced'
			: undefined;
	}

	/** Proposes a member set. A committed one is answered with `change-pending`, so that the caller asks again until no change is left. */
	async #propose(next: MemberSet): Promise<ChangeMembersAnswer> {
		try {
			const outcome = await this.#options.log.proposeMembership(next);
			if (outcome.kind === 'members-refused') {
				return {kind: 'refused', reason: outcome.reason};
			}

			return outcome.kind === 'not-leader' ? outcome : {kind: 'refused', reason: 'change-pending'};
		} catch (error: unknown) {
			if (error instanceof NoQuorumError) {
				return {kind: 'no-quorum'};
			}

			throw error;
		}
	}

	async #attempt(request: ChangeMembersRequest): Promise<ChangeMembersAnswer | undefined> {
		const ownAnswer = await this.answer(request);
		if (ownAnswer.kind !== 'not-leader') {
			return ownAnswer;
		}

		const address = ownAnswer.leader === undefined ? undefined : this.#options.directory.addresses.get(ownAnswer.leader);
		if (address === undefined) {
			return undefined;
		}

		try {
			return await this.#options.client.call(changeMembersMethod, address, request, {timeoutMilliseconds: 5000});
		} catch (error: unknown) {
			if (error instanceof RpcError) {
				return undefined;
			}

			throw error;
		}
	}

	async #waitBeforeRetry(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(retryIntervalMilliseconds, resolve);
		});
	}
}
