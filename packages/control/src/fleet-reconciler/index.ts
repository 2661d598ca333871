/**
Reconciles the fleet in deployments where no operator does it: the leader
periodically repairs the membership of the replicated log and sets the witnesses of
the failure domains from which nodes report.
*/

import {randomUUID} from 'node:crypto';
import type {
	Clock, CommandId, MemberId, Timer,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {planDomainChange} from '../_lib/plan-domain-change/index.js';
import {planMembershipRepair} from '../_lib/plan-membership-repair/index.js';
import {NoQuorumError, ShuttingDownError, StorageFailedError} from '../errors/index.js';
import type {FleetRegistry} from '../fleet-registry/index.js';
import type {MemberDirectory} from '../member-directory/index.js';
import type {MembershipService} from '../membership-service/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the fleet reconciler. */
export type FleetReconcilerOptions = {
	readonly log: ReplicatedLog;
	readonly directory: MemberDirectory;
	readonly members: MembershipService;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	/** Number of control VMs that may fail at the same time. */
	readonly toleratedVmFailures: number;
	/** Called after each attempted change, to log it. */
	readonly onStep?: (step: string, details: Fields) => void;
};

const reconcileIntervalMilliseconds = 250;
/** Time after the start during which nodes may report before domains are changed. */
const initialObservationMilliseconds = 2500;

type Leadership = {
	readonly term: number;
	readonly since: number;
};

/** Repairs the membership and the failure domains while this process is the leader. Its changes of failure domains are recorded with the operator name `steward`. */
export class FleetReconciler {
	readonly #options: FleetReconcilerOptions;
	readonly #startedAt: number;
	#timer: Timer | undefined;
	/** The term in which this process leads, and since when; undefined if it didn't lead at the last run. */
	#leadership: Leadership | undefined;
	#isClosed = false;

	constructor(options: FleetReconcilerOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	/** Starts the periodic runs. */
	start(): void {
		this.#scheduleRun();
	}

	/** Stops the periodic runs; a run in progress finishes. */
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
			const leadership = this.#updateLeadership();
			if (leadership !== undefined) {
				await this.#repairMembership(leadership);
				await this.#updateDomain();
			}
		} catch (error: unknown) {
			if (!(error instanceof NoQuorumError || error instanceof ShuttingDownError || error instanceof StorageFailedError)) {
				throw error;
			}

			this.#options.onStep?.('step-not-committed', {reason: error.message});
		}

		this.#scheduleRun();
	}

	#updateLeadership(): Leadership | undefined {
		const {log, clock} = this.#options;
		const {role, term} = log.status();
		if (role !== 'leader') {
			this.#leadership = undefined;
		} else if (this.#leadership?.term !== term) {
			this.#leadership = {term, since: clock.now()};
		}

		return this.#leadership;
	}

	async #repairMembership(leadership: Leadership): Promise<void> {
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
			millisecondsObserved: now - leadership.since,
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
