import {
	mkdtemp, readdir, readFile, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {createTeamName, ManualClock, type RequestId} from '@fireflyglade/model';
import type {RequestRecord} from '../request-metrics/index.js';
import {createSpanRecorder} from '../span-recorder/index.js';
import {ProcessObserver} from './index.js';

const brook = createTeamName('brook');
const fell = createTeamName('fell');

const whole: RequestRecord = {
	team: brook, status: 200, durationMilliseconds: 4, attempts: 1, whole: true,
};

const refused: RequestRecord = {
	...whole, status: 429, problem: 'rate-exceeded', outcome: 'not-run', attempts: 0,
};

function hop(number: number, flags = '01'): Parameters<ProcessObserver['hopFinished']>[0] {
	return {
		hop: 'gate', requestId: `request-${number}` as RequestId, traceparent: `00-${'a'.repeat(32)}-${'b'.repeat(16)}-${flags}`, start: 5, end: 9, status: 200,
	};
}

describe('ProcessObserver', () => {
	it('counts goodput, refusals by reason, failures and retries for each team', async () => {
		const observer = new ProcessObserver({clock: new ManualClock()});
		observer.requestFinished(whole);
		observer.requestFinished({...whole, attempts: 3});
		observer.requestFinished(refused);
		observer.requestFinished({...whole, status: 503});
		observer.requestFinished({...whole, whole: false});
		observer.requestFinished({
			...whole, status: 502, problem: 'outcome-unknown', outcome: 'unknown',
		});
		observer.responseIncomplete('endless-answer');
		const text = await observer.renderMetrics();
		expect(text).to.include('fireflyglade_incomplete_responses_total{cause="endless-answer"} 1');
		expect(text).contains('fireflyglade_requests_offered_total{team="brook"} 6');
		expect(text).contains('fireflyglade_requests_succeeded_total{team="brook"} 2');
		expect(text).contains('fireflyglade_requests_refused_total{team="brook",reason="rate-exceeded"} 1');
		expect(text).contains('fireflyglade_requests_failed_total{team="brook"} 3');
		expect(text).contains('fireflyglade_requests_retries_total{team="brook"} 2');
	});

	it('reports latencies by result and by hop', async () => {
		const observer = new ProcessObserver({clock: new ManualClock()});
		observer.requestFinished(whole);
		observer.hopFinished(hop(1));
		const text = await observer.renderMetrics();
		const latency = /request_duration_seconds{result="succeeded",quantile="0.99"} (?<seconds>\S+)/.exec(text)?.groups?.seconds;
		expect(Number(latency)).closeTo(0.004, 0.0001);
		expect(text).match(/hop_duration_seconds{hop="gate",quantile="0.5"} 0.00[34]/);
	});

	it('reports the current state', async () => {
		const level = {
			inFlight: 3, limit: 40, queueLength: 2, shedPriority: 10,
		};
		const observer = new ProcessObserver({clock: new ManualClock(), readState: () => ({level, revision: 7, revisionAgeMilliseconds: 1500})});
		const text = await observer.renderMetrics();
		expect(text).contains('fireflyglade_gate_limit 40');
		expect(text).contains('fireflyglade_revision 7');
		expect(text).contains('fireflyglade_revision_age_seconds 1.5');
		expect(text).not.contains('fireflyglade_retry_budget');
	});

	it('reports the load that the upstream states and the slow start, if there are any', async () => {
		const state = {revision: 7, revisionAgeMilliseconds: 1500};
		const silent = await new ProcessObserver({clock: new ManualClock(), readState: () => state}).renderMetrics();
		expect(silent).not.match(/upstream_|slow_start/);
		const reportedLoad = {
			running: 3, waiting: 1, slots: 8, pace: 2.5,
		};
		const text = await new ProcessObserver({clock: new ManualClock(), readState: () => ({...state, reportedLoad, slowStartLimit: 4})}).renderMetrics();
		for (const line of ['upstream_running 3', 'upstream_waiting 1', 'upstream_slots 8', 'upstream_pace 2.5', 'gate_slow_start_limit 4']) {
			expect(text).contains(`fireflyglade_${line}`);
		}
	});

	it('reports unequal service in the fairness index, and discards it after a minute', async () => {
		const clock = new ManualClock();
		const observer = new ProcessObserver({clock});
		observer.requestFinished(whole);
		observer.requestFinished({...refused, team: fell});
		expect(await observer.renderMetrics()).contains('fireflyglade_fairness_index 0.5');
		clock.advance(30_000);
		expect(await observer.renderMetrics()).contains('fireflyglade_fairness_index 0.5');
		clock.advance(30_000);
		expect(await observer.renderMetrics()).contains('fireflyglade_fairness_index 1');
	});

	describe('spans', () => {
		let folder: string;

		beforeEach(async () => {
			folder = await mkdtemp(join(tmpdir(), 'fireflyglade-spans-'));
		});

		afterEach(async () => {
			await rm(folder, {recursive: true});
		});

		it('writes a span for each sampled hop, with wall-clock times, and none for others', async () => {
			const file = join(folder, 'spans.jsonl');
			const spans = await createSpanRecorder({file, process: 'node-1', monotonicOrigin: 1000});
			const observer = new ProcessObserver({clock: new ManualClock(), spans});
			observer.hopFinished(hop(1));
			observer.hopFinished(hop(2, '00'));
			observer.hopFinished({...hop(3), traceparent: 'nonsense'});
			await observer.close();
			const lines = (await readFile(file, 'utf8')).trim().split('\n'); // eslint-disable-line unicorn/no-await-expression-member
			expect(lines.length).equal(1);
			const span = JSON.parse(lines[0]!) as Record<string, unknown>;
			expect(span).deep.include({
				traceId: 'a'.repeat(32), parentSpanId: 'b'.repeat(16), name: 'gate', startUnixNanoseconds: '1005000000', endUnixNanoseconds: '1009000000',
			});
			expect(span.attributes).deep.equal({process: 'node-1', requestId: 'request-1', status: 200});
		});

		it('keeps the files within their maximum size', async () => {
			const file = join(folder, 'spans.jsonl');
			for (let round = 0; round < 6; round += 1) {
				const spans = await createSpanRecorder({
					file, process: 'node-1', monotonicOrigin: 1000, maximumBytes: 1000,
				});
				spans.record(hop(round));
				spans.record(hop(round));
				await spans.close();
			}

			const names = await readdir(folder);
			expect(names.sort()).deep.equal(['spans.jsonl', 'spans.jsonl.1']);
			for (const name of names) {
				const text = await readFile(join(folder, name), 'utf8');
				expect(text.length).within(1, 1000);
			}
		});
	});
});
