import {
	createFailureDomain, createNodeId, ManualClock, type Revision,
} from '@fireflyglade/model';
import type {
	BriefNodeReport, NodeReport, ReportResponse, RpcClient, RpcMethod,
} from '@fireflyglade/transport';
import {expect} from 'chai';
import {ControlReporter} from './index.js';

const domain = createFailureDomain('north');

/** A control process that answers each report one second later. */
class FakeControl implements RpcClient {
	readonly reports: Array<NodeReport | BriefNodeReport> = [];
	answer: Partial<ReportResponse> = {};
	readonly #clock: ManualClock;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	async call<Request, Response>(_method: RpcMethod<Request, Response>, _address: string, request: Request): Promise<Response> {
		this.reports.push(request as NodeReport);
		await new Promise<void>(resolve => {
			this.#clock.startTimer(1000, resolve);
		});
		return {
			quorum: true, confirmed: true, domain, ...this.answer,
		} satisfies ReportResponse as Response;
	}

	close(): void {
		// Nothing is open.
	}
}

/** Runs a reporter for some seconds and returns its reports. */
async function run(seconds: number, memberCount: number, change?: (control: FakeControl) => void): Promise<Array<NodeReport | BriefNodeReport>> {
	const clock = new ManualClock();
	const control = new FakeControl(clock);
	const reporter = new ControlReporter({
		client: control,
		clock,
		domain,
		control: () => ['control:1'],
		memberCount: () => memberCount,
		createReport: () => ({
			node: createNodeId('node'), domain, revision: 1 as Revision, rpcAddress: 'node:1', callersUrl: '', teams: [], relayed: [],
		}),
		applyUpdate() {
			// There is none.
		},
		observeQuorum() {
			// Nothing depends on it.
		},
	}, 0);
	reporter.start();
	for (let second = 0; second < seconds; second++) {
		change?.(control);
		clock.advance(1000);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	reporter.close();
	return control.reports;
}

function isFull(report: NodeReport | BriefNodeReport): boolean {
	return !('isBrief' in report);
}

describe('ControlReporter', () => {
	it('sends brief reports in a large fleet, and a full one about every five seconds', async () => {
		const reports = await run(11, 200);
		expect(reports.slice(0, 11).map(report => isFull(report))).to.deep.equal([true, false, false, false, false, true, false, false, false, false, true]);
	});

	it('sends full reports in a small fleet', async () => {
		const reports = await run(5, 10);
		expect(reports.every(report => isFull(report))).to.equal(true);
	});

	it('sends a full report when the control process asks for it', async () => {
		const reports = await run(4, 200, control => {
			control.answer = {needsFullReport: control.reports.length === 2};
		});
		expect(reports.slice(0, 4).map(report => isFull(report))).to.deep.equal([true, false, true, false]);
	});

	it('asks for an answer without a wait after one without a quorum', async () => {
		const reports = await run(5, 200, control => {
			control.answer = {quorum: control.reports.length !== 2};
		});
		expect(reports.slice(0, 4).map(({waitMilliseconds}) => waitMilliseconds)).to.deep.equal([1000, 1000, 0, 1000]);
	});
});
