/**
Answers the reports of nodes with configuration updates (long polling).

An answer is held until a newer revision than the reported one is accepted, or until
the wait time that the node asked for has passed. Changes therefore reach the nodes
at once, and an idle fleet causes little traffic.

Traffic between control processes must not grow with the number of reports: linearizable
reads are paced and shared by all reports that wait for one, and of a node whose last full
report still holds, the others get its revision alone.
*/

import type {
	Clock, ConfigurationUpdate, FailureDomain, NodeId, Revision, Timer,
} from '@fireflyglade/model';
import type {
	BriefNodeReport, NodeReport, ReportResponse, RpcClient, TeamRequestCounts,
} from '@fireflyglade/transport';
import {
	shareMethod, teamCountsMethod, type ShareAnswer, type ShareRequest,
} from '../_lib/control-rpc.js';
import {choosePeers} from '../_lib/choose-peers/index.js';
import {NoQuorumError, ShuttingDownError, StorageFailedError} from '../errors/index.js';
import type {FleetRegistry, KnownNode} from '../fleet-registry/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the report service. */
export type ReportServiceOptions = {
	readonly log: Pick<ReplicatedLog, 'onApplied' | 'read' | 'stateMachine' | 'status'>;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	readonly client: RpcClient;
	/** Returns the RPC addresses of the other control processes. */
	readonly otherMemberAddresses: () => readonly string[];
	/** Returns the RPC addresses of all control processes. If absent, answers contain no addresses of control processes or peers. */
	readonly allMemberAddresses?: () => readonly string[];
	/** Failure domain of this process, which nodes of the same domain prefer. */
	readonly domain?: FailureDomain;
};

const maximumWaitMilliseconds = 5000;
const quorumFreshnessMilliseconds = 1500;
const maximumChangesPerUpdate = 1000;
/** Minimum interval between the starts of two linearizable reads. */
const readIntervalMilliseconds = 200;
const minimumShareIntervalMilliseconds = 250;
/** Share interval for each other control process, so that the number of messages grows with the number of control processes and not with its square. */
const shareIntervalPerMemberMilliseconds = 80;
const shareTimeoutMilliseconds = 1000;
const teamCountsTimeoutMilliseconds = 500;

/** Answers the reports of nodes. */
export class ReportService {
	readonly #options: ReportServiceOptions;
	readonly #heldAnswers = new Set<() => void>();
	#isClosed = false;
	#lastSharedAt = 0;
	#shareTimer: Timer | undefined;
	/** Nodes of which another control process has no full report. */
	readonly #nodesToShareInFull = new Set<NodeId>();
	#lastReadAt = Number.NEGATIVE_INFINITY;
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

	/** Confirms with a linearizable read that the state of this process is current. Calls that arrive before the read begins share it. */
	async confirmCurrent(): Promise<boolean> {
		this.#nextRead ??= this.#readAfter(this.#currentRead);
		return this.#nextRead;
	}

	/** Records a report and answers it. The answer is not held if there is a newer revision than the reported one. */
	async answer(message: NodeReport | BriefNodeReport): Promise<ReportResponse> {
		const {registry, clock, domain} = this.#options;
		const report = this.#recordReport(message);
		if (report === undefined) {
			return {quorum: this.hasQuorum(), needsFullReport: true};
		}

		await this.#waitForNewerRevision(report.revision, Math.min(message.waitMilliseconds, maximumWaitMilliseconds));
		const confirmed = await this.confirmCurrent();
		const update = this.#updateAfter(report.revision);
		const {allMemberAddresses} = this.#options;
		return {
			...(update === undefined ? {} : {update}),
			quorum: this.hasQuorum(),
			confirmed,
			...(domain === undefined ? {} : {domain}),
			...(allMemberAddresses === undefined ? {} : {control: allMemberAddresses(), peers: choosePeers(registry.nodes().filter(node => registry.hasRecentReport(node, clock.now())), report)}),
		};
	}

	/** Records reports that another control process received. */
	receiveSharedReports(request: ShareRequest): ShareAnswer {
		const {registry, clock} = this.#options;
		const now = clock.now();
		for (const {report, ageMilliseconds} of request.reports) {
			registry.recordReport(report, now - ageMilliseconds, false);
		}

		const unknown = request.briefReports.filter(([node, revision, ageMilliseconds]) => registry.recordBriefReport(node, revision, now - ageMilliseconds, false) === undefined);
		return {unknownNodes: unknown.map(([node]) => node)};
	}

	/** Returns the request counts of the teams at the other control processes; those that don't answer in time are left out. */
	async fetchTeamCounts(): Promise<ReadonlyArray<readonly TeamRequestCounts[]>> {
		const {client, otherMemberAddresses} = this.#options;
		const answers = await Promise.allSettled(otherMemberAddresses().map(async address => client.call(teamCountsMethod, address, {}, {timeoutMilliseconds: teamCountsTimeoutMilliseconds})));
		return answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value.teams] : []);
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

	/** Records a report. Returns the node's full report, or `undefined` if there is none. */
	#recordReport(message: NodeReport | BriefNodeReport): NodeReport | undefined {
		const {registry, clock} = this.#options;
		if ('isBrief' in message) {
			return registry.recordBriefReport(message.node, message.revision, clock.now(), true);
		}

		registry.recordReport(message, clock.now(), true);
		return message;
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

	async #readAfter(previous: Promise<boolean> | undefined): Promise<boolean> {
		await previous;
		await this.#waitForReadInterval();
		this.#lastReadAt = this.#options.clock.now();
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

	/** Waits until a read may start. A first read after an idle time starts at once. */
	async #waitForReadInterval(): Promise<void> {
		const {clock} = this.#options;
		const delay = this.#lastReadAt + readIntervalMilliseconds - clock.now();
		if (delay > 0 && !this.#isClosed) {
			await new Promise<void>(resolve => {
				clock.startTimer(delay, resolve);
			});
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
			const interval = Math.max(minimumShareIntervalMilliseconds, this.#options.otherMemberAddresses().length * shareIntervalPerMemberMilliseconds);
			this.#shareTimer = this.#options.clock.startTimer(interval, () => {
				this.#shareReports();
				this.#scheduleShare();
			});
		}
	}

	#shareReports(): void {
		const now = this.#options.clock.now();
		const since = this.#lastSharedAt;
		const recentNodes = this.#options.registry.directReportsSince(since);
		this.#lastSharedAt = now;
		if (recentNodes.length === 0) {
			return;
		}

		const isFull = ({report, lastFullReportAt}: KnownNode): boolean => lastFullReportAt > since || this.#nodesToShareInFull.has(report.node);
		const request: ShareRequest = {
			reports: recentNodes.filter(node => isFull(node)).map(({report, lastReportAt}) => ({report: {...report, teams: []}, ageMilliseconds: now - lastReportAt})),
			briefReports: recentNodes.filter(node => !isFull(node)).map(({report, lastReportAt}) => [report.node, report.revision, Math.round(now - lastReportAt)]),
		};
		for (const {report} of recentNodes) {
			this.#nodesToShareInFull.delete(report.node);
		}

		for (const address of this.#options.otherMemberAddresses()) {
			void this.#shareWith(address, request);
		}
	}

	async #shareWith(address: string, request: ShareRequest): Promise<void> {
		try {
			const {unknownNodes} = await this.#options.client.call(shareMethod, address, request, {timeoutMilliseconds: shareTimeoutMilliseconds});
			for (const node of unknownNodes) {
				this.#nodesToShareInFull.add(node);
			}
		} catch {
			// Nodes report periodically, so their next reports are shared later.
		}
	}
}
