/**
Reports a node to a control process and takes what is new from its answers.

One report is always under way: the control process holds its answer until
something newer is accepted, for about a second at most. A revision that came
from a peer is reported at once.
*/

import type {
	Clock, ConfigurationUpdate, Revision, Timer,
} from '@fireflyglade/model';
import {
	reportMethod, type NodeReport, type ReportResponse, type RpcClient,
} from '@fireflyglade/transport';

/** Options of a reporter. */
export type ReporterOptions = {
	readonly client: RpcClient;
	readonly clock: Clock;
	/** Gives the RPC addresses of control processes. */
	readonly control: () => readonly string[];
	/** Writes the report, without the time to wait. */
	readonly describe: () => Omit<NodeReport, 'waitMilliseconds'>;
	readonly takeUpdate: (update: ConfigurationUpdate) => void;
	readonly observeQuorum: () => void;
	/** Notes the moment before a report is sent; what it gives is called with the answer, once its update is in force. */
	readonly beginReport?: () => (answer: ReportResponse) => void;
	/** Milliseconds that a control process may hold its answer; a second if absent. */
	readonly waitMilliseconds?: number;
};

const defaultWaitMilliseconds = 1000;
/** Milliseconds for an answer beyond those for which it may be held. */
const answerTimeoutMilliseconds = 1000;
const pauseMilliseconds = 200;

/** Reports as long as it is not closed. */
export class ControlReporter {
	readonly #options: ReporterOptions;
	#index: number;
	#isClosed = false;
	#timer?: Timer;
	/** Revision of the last report. */
	#reported?: Revision;
	/** True while an answer is taken after which the next report follows anyway. */
	#isFollowed = false;

	/** The reports begin with the control process at `firstIndex`. */
	constructor(options: ReporterOptions, firstIndex: number) {
		this.#options = options;
		this.#index = firstIndex;
	}

	start(): void {
		if (this.#options.control().length > 0) {
			void this.#reportOn();
		}
	}

	/** Reports a revision that the control process does not know of yet. */
	reportRevision(): void {
		const report = this.#options.describe();
		if (this.#isClosed || this.#isFollowed || this.#options.control().length === 0 || report.revision === this.#reported) {
			return;
		}

		void this.#report(0);
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	async #reportOn(): Promise<void> {
		while (!this.#isClosed) {
			const answer = await this.#report(this.#options.waitMilliseconds ?? defaultWaitMilliseconds);
			if (answer?.quorum !== true || answer.confirmed === false) {
				this.#index++;
				await this.#pause();
			}
		}
	}

	/** Sends one report; a failure gives undefined. */
	async #report(wait: number): Promise<ReportResponse | undefined> {
		const {client, control, describe, takeUpdate, observeQuorum, beginReport} = this.#options;
		const addresses = control();
		const address = addresses[this.#index % addresses.length]!;
		const report = {...describe(), waitMilliseconds: wait};
		this.#reported = report.revision;
		const endReport = beginReport?.();
		try {
			const answer = await client.call(reportMethod, address, report, {timeoutMilliseconds: wait + answerTimeoutMilliseconds});
			if (answer.quorum) {
				observeQuorum();
			}

			if (answer.update !== undefined && !this.#isClosed) {
				this.#isFollowed = wait > 0;
				takeUpdate(answer.update);
				this.#isFollowed = false;
			}

			endReport?.(answer);
			return answer;
		} catch {
			return undefined;
		}
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#timer = this.#options.clock.startTimer(pauseMilliseconds, resolve);
		});
	}
}
