/**
Reports the state of a node to a control process and applies the configuration
updates in its answers.

Reports use long polling: each report follows the answer to the previous one, and
the control process holds its answer until a newer change is accepted, for about 1
second at most. After a failure, or an answer that reports no quorum or a failed
confirmation, another control process is used after a delay and answers at once, as the
last confirmation grows old meanwhile. A revision that was received
from a peer is reported immediately.

Most of a report rarely changes or only serves operators' queries, so that in a large
fleet most reports are brief. A report is full if it is the first to a control process,
if the upstream has changed, or if the last full one is old.
*/

import type {
	Clock, ConfigurationUpdate, FailureDomain, Revision, Target, Timer,
} from '@fireflyglade/model';
import {
	reportMethod, type BriefNodeReport, type NodeReport, type ReportResponse, type RpcClient,
} from '@fireflyglade/transport';
import {ControlChooser} from '../_lib/control-chooser/index.js';

/** Options of a reporter. */
export type ControlReporterOptions = {
	readonly client: RpcClient;
	readonly clock: Clock;
	/** Failure domain of the node, whose control processes are preferred. */
	readonly domain: FailureDomain;
	/** Returns the RPC addresses of control processes. */
	readonly control: () => readonly string[];
	/** Returns the number of members of the fleet; the larger the fleet, the rarer full reports are. */
	readonly memberCount: () => number;
	/** Creates the report, without the wait time. */
	readonly createReport: () => Omit<NodeReport, 'waitMilliseconds'>;
	/** Applies a configuration update from an answer. */
	readonly applyUpdate: (update: ConfigurationUpdate) => void;
	/** Called when an answer shows that the control process has a quorum. */
	readonly observeQuorum: () => void;
	/** Called before a report is sent. The returned handler receives the answer after its update has been applied. */
	readonly prepareAnswerHandler?: () => (answer: ReportResponse) => void;
	/** Milliseconds for which a control process may hold its answer; 1 second if absent. */
	readonly waitMilliseconds?: number;
};

const defaultWaitMilliseconds = 1000;
/** Milliseconds to wait for an answer beyond the time for which it may be held. */
const answerTimeoutMilliseconds = 1000;
const retryDelayMilliseconds = 200;
/** Interval between full reports for each member of the fleet, up to a maximum. */
const fullReportIntervalPerMemberMilliseconds = 50;
const maximumFullReportIntervalMilliseconds = 5000;

/** The last full report that a control process received. */
type FullReport = {
	readonly address: string;
	readonly at: number;
	readonly target: Target | undefined;
};

/** Reports continuously until it is closed. */
export class ControlReporter {
	readonly #options: ControlReporterOptions;
	readonly #chooser: ControlChooser;
	#lastFullReport: FullReport | undefined;
	#isClosed = false;
	#timer?: Timer;
	/** Revision in the last report. */
	#lastReportedRevision?: Revision;
	/** True while the update of a long-polling answer is applied; the next report follows immediately and includes the new revision. */
	#hasFollowUpReport = false;

	/** @param chooserOffset - A number that differs between nodes, so that they spread over the control processes. */
	constructor(options: ControlReporterOptions, chooserOffset: number) {
		this.#options = options;
		this.#chooser = new ControlChooser(options.domain, chooserOffset);
	}

	start(): void {
		if (this.#options.control().length > 0) {
			void this.#reportContinuously();
		}
	}

	/** Reports the current revision immediately, unless it has been reported or the next report follows anyway. */
	reportRevision(): void {
		const report = this.#options.createReport();
		if (this.#isClosed || this.#hasFollowUpReport || this.#options.control().length === 0 || report.revision === this.#lastReportedRevision) {
			return;
		}

		void this.#report(0);
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	async #reportContinuously(): Promise<void> {
		let hasFailed = false;
		while (!this.#isClosed) {
			const answer = await this.#report(hasFailed ? 0 : this.#options.waitMilliseconds ?? defaultWaitMilliseconds);
			hasFailed = !isUsable(answer);
			if (hasFailed) {
				await this.#pause();
			}
		}
	}

	/** Sends one report. Resolves to undefined on failure. */
	async #report(wait: number): Promise<ReportResponse | undefined> {
		const {client, clock, control, applyUpdate, observeQuorum, prepareAnswerHandler} = this.#options;
		const address = this.#chooser.choose(control(), clock.now());
		const report = this.#createReport(address, wait);
		this.#lastReportedRevision = report.revision;
		const handleAnswer = prepareAnswerHandler?.();
		try {
			const answer = await client.call(reportMethod, address, report, {timeoutMilliseconds: wait + answerTimeoutMilliseconds});
			this.#recordAnswer(address, answer);
			if (answer.quorum) {
				observeQuorum();
			}

			if (answer.update !== undefined && !this.#isClosed) {
				this.#hasFollowUpReport = wait > 0;
				applyUpdate(answer.update);
				this.#hasFollowUpReport = false;
			}

			handleAnswer?.(answer);
			return answer;
		} catch {
			this.#chooser.recordFailure(address, clock.now());
			this.#lastFullReport = undefined;
			return undefined;
		}
	}

	/** Creates a brief report if the last full one still holds, and a full one otherwise. */
	#createReport(address: string, waitMilliseconds: number): NodeReport | BriefNodeReport {
		const {clock, createReport, memberCount} = this.#options;
		const now = clock.now();
		const report = createReport();
		const interval = Math.min(maximumFullReportIntervalMilliseconds, memberCount() * fullReportIntervalPerMemberMilliseconds);
		const last = this.#lastFullReport;
		if (last?.address === address && last.target === report.target && now - last.at < interval) {
			return {
				isBrief: true, node: report.node, revision: report.revision, waitMilliseconds,
			};
		}

		this.#lastFullReport = {address, at: now, target: report.target};
		return {...report, waitMilliseconds};
	}

	#recordAnswer(address: string, answer: ReportResponse): void {
		if (answer.needsFullReport === true) {
			this.#lastFullReport = undefined;
		}

		if (isUsable(answer)) {
			this.#chooser.recordAnswer(address, answer.domain);
			return;
		}

		this.#chooser.recordFailure(address, this.#options.clock.now());
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#timer = this.#options.clock.startTimer(retryDelayMilliseconds, resolve);
		});
	}
}

/** True if the control process that answered can confirm which configuration is the newest. */
function isUsable(answer: ReportResponse | undefined): boolean {
	return answer?.quorum === true && answer.confirmed !== false;
}
