/**
Answers the reports of nodes with configuration updates (long polling).

An answer is held until a newer revision than the reported one is accepted, or until
the wait time that the node asked for has passed. Changes therefore reach the nodes
at once, and an idle fleet causes little traffic.
*/

import type {
	Clock, ConfigurationUpdate, Revision, Timer,
} from '@fireflyglade/model';
import type {NodeReport, ReportResponse, RpcClient} from '@fireflyglade/transport';
import {shareMethod, type ShareRequest} from '../_lib/control-rpc.js';
import {choosePeers} from '../_lib/choose-peers/index.js';
import {NoQuorumError, ShuttingDownError, StorageFailedError} from '../errors/index.js';
import type {FleetRegistry} from '../fleet-registry/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the report service. */
export type ReportServiceOptions = {
	readonly log: ReplicatedLog;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	readonly client: RpcClient;
	/** Returns the RPC addresses of the other control processes. */
	readonly otherMemberAddresses: () => readonly string[];
	/** Returns the RPC addresses of all control processes. If absent, answers contain no addresses of control processes or peers. */
	readonly allMemberAddresses?: () => readonly string[];
};

const maximumWaitMilliseconds = 5000;
const quorumFreshnessMilliseconds = 1500;
const maximumChangesPerUpdate = 1000;
const shareIntervalMilliseconds = 250;
const shareTimeoutMilliseconds = 1000;

/** Answers the reports of nodes. */
export class ReportService {
	readonly #options: ReportServiceOptions;
	readonly #heldAnswers = new Set<() => void>();
	#isClosed = false;
	#lastSharedAt = 0;
	#shareTimer: Timer | undefined;
	#currentRead: Promise<boolean> | undefined;
	#nextRead: Promise<boolean> | undefined;
	readonly #stopListening: () => void;

	constructor(options: ReportServiceOptions) {
		this.#options = options;
		this.#stopListening = options.log.onApplied(() => {
			this.#wakeAll();
		});
	}

	/** Starts to share reports periodically with the other control processes. */
	start(): void {
		this.#scheduleShare();
	}

	/** Records a report and answers it. The answer is not held if there is a newer revision than the reported one. */
	async answer(report: NodeReport): Promise<ReportResponse> {
		const {registry, clock} = this.#options;
		registry.recordReport(report, clock.now(), true);
		await this.#waitForNewerRevision(report.revision, Math.min(report.waitMilliseconds, maximumWaitMilliseconds));
		const confirmed = await this.#confirmCurrent();
		const update = this.#updateAfter(report.revision);
		const {allMemberAddresses} = this.#options;
		return {
			...(update === undefined ? {} : {update}),
			quorum: this.hasQuorum(),
			confirmed,
			...(allMemberAddresses === undefined ? {} : {control: allMemberAddresses(), peers: choosePeers(registry.nodes().filter(node => registry.hasRecentReport(node, clock.now())), report)}),
		};
	}

	/** Records reports that another control process received. */
	receiveSharedReports(request: ShareRequest): void {
		const now = this.#options.clock.now();
		for (const {report, ageMilliseconds} of request.reports) {
			this.#options.registry.recordReport(report, now - ageMilliseconds, false);
		}
	}

	/** True if the disk is intact, a leader is known, and the last contact with a quorum is recent. */
	hasQuorum(): boolean {
		const status = this.#options.log.status();
		const lastContactAt = status.lastQuorumContactAt ?? Number.NEGATIVE_INFINITY;
		return !status.hasLostDisk && status.leader !== undefined && this.#options.clock.now() - lastContactAt <= quorumFreshnessMilliseconds;
	}

	/** Stops sharing and answers all held reports. */
	close(): void {
		this.#isClosed = true;
		this.#shareTimer?.cancel();
		this.#stopListening();
		this.#wakeAll();
	}

	#wakeAll(): void {
		for (const wake of this.#heldAnswers) {
			wake();
		}
	}

	async #waitForNewerRevision(revision: Revision, timeout: number): Promise<void> {
		if (this.#isClosed || timeout <= 0 || this.#options.log.stateMachine().configuration().revision > revision) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				timer.cancel();
				this.#heldAnswers.delete(wake);
				resolve();
			};

			const wake = (): void => {
				if (this.#isClosed || this.#options.log.stateMachine().configuration().revision > revision) {
					end();
				}
			};

			const timer = this.#options.clock.startTimer(timeout, end);
			this.#heldAnswers.add(wake);
		});
	}

	/** Confirms with a linearizable read that the configuration is current. Reports that arrive before the read begins share it. */
	async #confirmCurrent(): Promise<boolean> {
		this.#nextRead ??= this.#readAfter(this.#currentRead);
		return this.#nextRead;
	}

	async #readAfter(previous: Promise<boolean> | undefined): Promise<boolean> {
		await previous;
		this.#currentRead = this.#nextRead;
		this.#nextRead = undefined;
		try {
			await this.#options.log.read();
			return true;
		} catch (error: unknown) {
			if (error instanceof NoQuorumError || error instanceof ShuttingDownError || error instanceof StorageFailedError) {
				return false;
			}

			throw error;
		}
	}

	#updateAfter(revision: Revision): ConfigurationUpdate | undefined {
		const stateMachine = this.#options.log.stateMachine();
		const configuration = stateMachine.configuration();
		if (configuration.revision <= revision) {
			return undefined;
		}

		const changes = stateMachine.changesAfter(revision);
		return changes === undefined || changes.length > maximumChangesPerUpdate
			? {kind: 'whole', configuration}
			: {kind: 'changes', after: revision, changes};
	}

	#scheduleShare(): void {
		if (!this.#isClosed) {
			this.#shareTimer = this.#options.clock.startTimer(shareIntervalMilliseconds, () => {
				this.#shareReports();
				this.#scheduleShare();
			});
		}
	}

	#shareReports(): void {
		const now = this.#options.clock.now();
		const recentNodes = this.#options.registry.directReportsSince(this.#lastSharedAt);
		this.#lastSharedAt = now;
		if (recentNodes.length === 0) {
			return;
		}

		const reports = recentNodes.map(({report, lastReportAt}) => ({report, ageMilliseconds: now - lastReportAt}));
		for (const address of this.#options.otherMemberAddresses()) {
			void this.#shareWith(address, {reports});
		}
	}

	async #shareWith(address: string, request: ShareRequest): Promise<void> {
		try {
			await this.#options.client.call(shareMethod, address, request, {timeoutMilliseconds: shareTimeoutMilliseconds});
		} catch {
			// Nodes report periodically, so their next reports are shared later.
		}
	}
}
