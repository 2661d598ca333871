/**
Reports the state of a node to a control process and applies the configuration
updates in its answers.

Reports use long polling: each report follows the answer to the previous one, and
the control process holds its answer until a newer change is accepted, for about 1
second at most. After a failure, or an answer that reports no quorum or a failed
confirmation, the next control process is used after a delay. A revision that was received from a peer is reported
immediately.
*/

import type {
	Clock, ConfigurationUpdate, Revision, Timer,
} from '@fireflyglade/model';
import {
	reportMethod, type NodeReport, type ReportResponse, type RpcClient,
} from '@fireflyglade/transport';

/** Options of a reporter. */
export type ControlReporterOptions = {
	readonly client: RpcClient;
	readonly clock: Clock;
	/** Returns the RPC addresses of control processes. */
	readonly control: () => readonly string[];
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

/** Reports continuously until it is closed. */
export class ControlReporter {
	readonly #options: ControlReporterOptions;
	#controlIndex: number;
	#isClosed = false;
	#timer?: Timer;
	/** Revision in the last report. */
	#lastReportedRevision?: Revision;
	/** True while the update of a long-polling answer is applied; the next report follows immediately and includes the new revision. */
	#hasFollowUpReport = false;

	/** @param firstIndex - Index of the control process that receives the first report, modulo their number. */
	constructor(options: ControlReporterOptions, firstIndex: number) {
		this.#options = options;
		this.#controlIndex = firstIndex;
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
		while (!this.#isClosed) {
			const answer = await this.#report(this.#options.waitMilliseconds ?? defaultWaitMilliseconds);
			if (answer?.quorum !== true || answer.confirmed === false) {
				this.#controlIndex++;
				await this.#pause();
			}
		}
	}

	/** Sends one report. Resolves to undefined on failure. */
	async #report(wait: number): Promise<ReportResponse | undefined> {
		const {client, control, createReport, applyUpdate, observeQuorum, prepareAnswerHandler} = this.#options;
		const addresses = control();
		const address = addresses[this.#controlIndex % addresses.length]!;
		const report = {...createReport(), waitMilliseconds: wait};
		this.#lastReportedRevision = report.revision;
		const handleAnswer = prepareAnswerHandler?.();
		try {
			const answer = await client.call(reportMethod, address, report, {timeoutMilliseconds: wait + answerTimeoutMilliseconds});
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
			return undefined;
		}
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#timer = this.#options.clock.startTimer(retryDelayMilliseconds, resolve);
		});
	}
}
