/**
Keeps the fleet in order where no operator does it: the leader repairs the members
of the replicated log and states the failure domains that it hears of.
*/

import {randomUUID} from 'node:crypto';
import type {
	Clock, CommandId, MemberId, Timer,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {nextDomainStep} from '../_lib/next-domain-step/index.js';
import {nextMemberRepair} from '../_lib/next-member-repair/index.js';
import {NoQuorumError, ShuttingDownError} from '../errors/index.js';
import type {FleetRegistry} from '../fleet-registry/index.js';
import type {MemberDirectory} from '../member-directory/index.js';
import type {MemberService} from '../member-service/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** What the steward needs. */
export type FleetStewardOptions = {
	readonly log: ReplicatedLog;
	readonly directory: MemberDirectory;
	readonly members: MemberService;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	/** Control VMs that may be lost at once. */
	readonly toleratedLosses: number;
	/** Called after each step, for the log. */
	readonly onStep?: (step: string, details: Fields) => void;
};

const intervalMilliseconds = 250;
/** Time for the nodes of a young fleet to be heard before its domains are stated. */
const settleMilliseconds = 1500;

/** Repairs members and domains while this process leads. */
export class FleetSteward {
	readonly #options: FleetStewardOptions;
	readonly #startedAt: number;
	#timer: Timer | undefined;
	#isClosed = false;

	constructor(options: FleetStewardOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	start(): void {
		this.#later();
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	#later(): void {
		if (!this.#isClosed) {
			this.#timer = this.#options.clock.startTimer(intervalMilliseconds, () => {
				void this.#run();
			});
		}
	}

	async #run(): Promise<void> {
		try {
			if (this.#options.log.status().role === 'leader') {
				await this.#repairMembers();
				await this.#stateDomain();
			}
		} catch (error: unknown) {
			if (!(error instanceof NoQuorumError || error instanceof ShuttingDownError)) {
				throw error;
			}

			this.#options.onStep?.('step-not-committed', {reason: error.message});
		}

		this.#later();
	}

	async #repairMembers(): Promise<void> {
		const {log, directory, members, clock, toleratedLosses} = this.#options;
		const status = log.status();
		const now = clock.now();
		const silenceOf = (member: MemberId): number | undefined => {
			const heardAt = directory.heardAt(member);
			return heardAt === undefined ? undefined : now - heardAt;
		};

		const repair = nextMemberRepair({
			members: status.members,
			caughtUpLearners: status.caughtUpLearners,
			addresses: directory.addresses,
			silenceOf,
			minimumVoters: (toleratedLosses * 2) + 1,
		});
		if (repair === undefined) {
			return;
		}

		const answer = await members.answer(repair);
		this.#options.onStep?.('members-repaired', {...repair, answer: answer.kind, ...(answer.kind === 'refused' ? {reason: answer.reason} : {})});
		if (repair.action === 'remove') {
			directory.forget(repair.member);
		}
	}

	async #stateDomain(): Promise<void> {
		const {log, registry, clock} = this.#options;
		const now = clock.now();
		if (now - this.#startedAt < settleMilliseconds) {
			return;
		}

		const configuration = log.machine().configuration();
		const nodes = registry.nodes().map(({report, heardAt}) => ({node: report.node, domain: report.domain, silenceMilliseconds: now - heardAt}));
		const domain = nextDomainStep(nodes, configuration.domains);
		if (domain === undefined) {
			return;
		}

		const outcome = await log.propose({
			kind: 'change',
			commandId: `steward-${randomUUID()}` as CommandId,
			change: {kind: 'set-domain', domain},
			expectedRevision: configuration.revision,
			operator: 'steward',
			at: clock.wallNow(),
		});
		this.#options.onStep?.('domain-stated', {domain: domain.name, witnesses: domain.witnesses.join(' '), outcome: outcome.kind});
	}
}
