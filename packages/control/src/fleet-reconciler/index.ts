/**
Keeps the fleet in order where no operator does it: the leader repairs the members
of the replicated log and states the failure domains that it hears of.
*/

import {randomUUID} from 'node:crypto';
import type {
	Clock, CommandId, MemberId, Timer,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {planDomainChange} from '../_lib/plan-domain-change/index.js';
import {planMembershipRepair} from '../_lib/plan-membership-repair/index.js';
import {NoQuorumError, ShuttingDownError} from '../errors/index.js';
import type {FleetRegistry} from '../fleet-registry/index.js';
import type {MemberDirectory} from '../member-directory/index.js';
import type {MembershipService} from '../membership-service/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** What the steward needs. */
export type FleetReconcilerOptions = {
	readonly log: ReplicatedLog;
	readonly directory: MemberDirectory;
	readonly members: MembershipService;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	/** Control VMs that may be lost at once. */
	readonly toleratedVmFailures: number;
	/** Called after each step, for the log. */
	readonly onStep?: (step: string, details: Fields) => void;
};

const reconcileIntervalMilliseconds = 250;
/** Time for the nodes of a young fleet to be heard before its domains are stated. */
const initialObservationMilliseconds = 1500;

/** Repairs members and domains while this process leads. */
export class FleetReconciler {
	readonly #options: FleetReconcilerOptions;
	readonly #startedAt: number;
	#timer: Timer | undefined;
	#isClosed = false;

	constructor(options: FleetReconcilerOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	start(): void {
		this.#scheduleRun();
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	#scheduleRun(): void {
		if (!this.#isClosed) {
			this.#timer = this.#options.clock.startTimer(reconcileIntervalMilliseconds, () => {
				void this.#reconcile();
			});
		}
	}

	async #reconcile(): Promise<void> {
		try {
			if (this.#options.log.status().role === 'leader') {
				await this.#repairMembership();
				await this.#updateDomain();
			}
		} catch (error: unknown) {
			if (!(error instanceof NoQuorumError || error instanceof ShuttingDownError)) {
				throw error;
			}

			this.#options.onStep?.('step-not-committed', {reason: error.message});
		}

		this.#scheduleRun();
	}

	async #repairMembership(): Promise<void> {
		const {log, directory, members, clock, toleratedVmFailures} = this.#options;
		const status = log.status();
		const now = clock.now();
		const millisecondsSinceContact = (member: MemberId): number | undefined => {
			const lastContactAt = directory.lastContactAt(member);
			return lastContactAt === undefined ? undefined : now - lastContactAt;
		};

		const repair = planMembershipRepair({
			members: status.members,
			caughtUpLearners: status.caughtUpLearners,
			addresses: directory.addresses,
			millisecondsSinceContact,
			minimumVoters: (toleratedVmFailures * 2) + 1,
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

	async #updateDomain(): Promise<void> {
		const {log, registry, clock} = this.#options;
		const now = clock.now();
		if (now - this.#startedAt < initialObservationMilliseconds) {
			return;
		}

		const configuration = log.stateMachine().configuration();
		const nodes = registry.nodes().map(({report, lastReportAt}) => ({node: report.node, domain: report.domain, millisecondsSinceReport: now - lastReportAt}));
		const domain = planDomainChange(nodes, configuration.domains);
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
