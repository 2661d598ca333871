import {
	createFailureDomain, createMemberId, createNodeId, ManualClock, type Revision,
} from '@fireflyglade/model';
import {ConfigurationStateMachine} from '@fireflyglade/state';
import type {
	BriefNodeReport, NodeReport, RpcClient, RpcMethod,
} from '@fireflyglade/transport';
import {expect} from 'chai';
import type {ShareRequest} from '../_lib/control-rpc.js';
import {FleetRegistry} from '../fleet-registry/index.js';
import {ReportService, type ReportServiceOptions} from './index.js';

const domain = createFailureDomain('north');
const noRevision = 0 as Revision;

function createReport(name: string): NodeReport {
	return {
		node: createNodeId(name), domain, revision: noRevision, rpcAddress: `${name}:1`, callersUrl: '', teams: [], relayed: [], waitMilliseconds: 100,
	};
}

function createBriefReport(name: string): BriefNodeReport {
	return {
		isBrief: true, node: createNodeId(name), revision: noRevision, waitMilliseconds: 100,
	};
}

/** Lets pending promises settle. */
async function settle(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/** A report service with a replicated log that confirms each read at once. */
class TestService {
	readonly clock = new ManualClock();
	readonly registry = new FleetRegistry();
	readonly service: ReportService;
	reads = 0;

	constructor(options: Partial<ReportServiceOptions> = {}) {
		const stateMachine = new ConfigurationStateMachine();
		const client: RpcClient = {
			async call() {
				throw new Error('unreachable');
			},
			close() {
				// Nothing is open.
			},
		};
		this.service = new ReportService({
			log: {
				onApplied: () => () => undefined,
				read: async () => {
					this.reads++;
				},
				stateMachine: () => stateMachine,
				status: () => ({
					term: 1, role: 'leader', leader: createMemberId('m'), commitIndex: 0, lastIndex: 0,
					members: {voters: [], learners: []}, lastQuorumContactAt: this.clock.now(), caughtUpLearners: [], hasLostDisk: false,
				}),
			},
			registry: this.registry,
			clock: this.clock,
			client,
			otherMemberAddresses: () => [],
			domain,
			...options,
		});
	}

	async advance(milliseconds: number, step = 10): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += step) {
			this.clock.advance(step);
			await settle();
		}
	}
}

describe('ReportService', () => {
	it('confirms the reports of hundreds of nodes with few linearizable reads', async () => {
		const test = new TestService();
		const answers: Array<Promise<unknown>> = [];
		for (let index = 0; index < 200; index++) {
			answers.push(test.service.answer(createReport(`node-${index}`)));
			await test.advance(10);
		}

		await test.advance(1000);
		await Promise.all(answers);
		expect(test.reads).to.be.within(5, 15);
	});

	it('confirms a single report as soon as its wait has passed', async () => {
		const test = new TestService();
		const answer = test.service.answer(createReport('node'));
		await test.advance(100);
		const first = await Promise.race([answer, settle()]);
		expect(first).to.deep.include({confirmed: true});
	});

	it('asks for a full report of a node that it does not know, at once', async () => {
		const test = new TestService();
		expect(await test.service.answer(createBriefReport('node'))).to.deep.equal({quorum: true, needsFullReport: true});
		const full = test.service.answer(createReport('node'));
		await test.advance(100);
		expect(await full).to.deep.include({confirmed: true, domain});
		const brief = test.service.answer(createBriefReport('node'));
		await test.advance(400);
		expect(await brief).to.deep.include({confirmed: true});
	});

	it('shares the revision alone of a node whose full report the others have, until one of them lacks it', async () => {
		const requests: ShareRequest[] = [];
		const other = new FleetRegistry();
		const receiver = new TestService({registry: other});
		const client: RpcClient = {
			async call<Request, Response>(_method: RpcMethod<Request, Response>, _address: string, request: Request): Promise<Response> {
				requests.push(request as ShareRequest);
				return receiver.service.receiveSharedReports(request as ShareRequest) as Response;
			},
			close() {
				// Nothing is open.
			},
		};
		const test = new TestService({client, otherMemberAddresses: () => ['other:1']});
		test.service.start();
		await test.advance(10);
		void test.service.answer(createReport('node'));
		await test.advance(250);
		void test.service.answer(createBriefReport('node'));
		await test.advance(250);
		expect(requests.map(({reports, briefReports}) => [reports.length, briefReports.length])).to.deep.equal([[1, 0], [0, 1]]);
		expect(other.nodes()[0]).to.deep.include({isDirect: false});
		other.removeStaleNodes(Number.MAX_VALUE);
		void test.service.answer(createBriefReport('node'));
		await test.advance(250);
		void test.service.answer(createBriefReport('node'));
		await test.advance(250);
		expect(requests.slice(2).map(({reports, briefReports}) => [reports.length, briefReports.length])).to.deep.equal([[0, 1], [1, 0]]);
		expect(other.nodes()).to.have.length(1);
		test.service.close();
	});
});
