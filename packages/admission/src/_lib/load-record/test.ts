import {expect} from 'chai';
import type {UpstreamLoad} from '@fireflyglade/model';
import {LoadRecord} from './index.js';

const announcedSlots = 40;

/** Records reports that arrive 10 ms apart, each while `inFlight` requests run, and returns the record. The last one arrives at time 0. */
function recordAll(inFlight: number, ...loads: UpstreamLoad[]): LoadRecord {
	const record = new LoadRecord();
	for (const [index, load] of loads.entries()) {
		record.observe(load, {inFlight, announcedSlots}, (index + 1 - loads.length) * 10);
	}

	return record;
}

describe('LoadRecord', () => {
	it('follows reported slots below the announced ones, down to a quarter, and never above', () => {
		for (const [slots, usable] of [[30, 30], [1, 10], [80, 40]] as const) {
			expect(recordAll(8, {running: 8, waiting: 0, slots}).usableSlots(announcedSlots, 0)).to.equal(usable);
		}
	});

	// Guards against: a burst after an idle time is limited, or placed, by a load of half a second ago.
	it('drops a report after its lifetime', () => {
		const record = recordAll(8, {
			running: 8, waiting: 0, slots: 10, pace: 2.5,
		});
		expect(record.pace(400)).to.equal(2.5);
		expect(record.usableSlots(announcedSlots, 400)).to.equal(10);
		expect(record.pace(401)).to.equal(undefined);
		expect(record.usableSlots(announcedSlots, 401)).to.equal(announcedSlots);
	});

	it('reports no pace if the upstream states none', () => {
		expect(recordAll(8, {running: 8, waiting: 0, slots: 10}).pace(0)).to.equal(undefined);
	});

	const sound = {
		running: 8, waiting: 0, slots: 10, pace: 1,
	};
	for (const [name, change] of Object.entries<Partial<UpstreamLoad>>({
		'a negative number': {waiting: -1},
		'a fraction of a request': {waiting: 0.5},
		'no number': {slots: Number.NaN},
		'no slots': {slots: 0},
		'an absurd number of slots': {slots: 1e9},
		'an absurd pace': {pace: 1e6},
		'no pace at all': {pace: 0},
	})) {
		it(`ignores a report with ${name}`, () => {
			const record = recordAll(8, {...sound, ...change});
			expect(record.latest(0)).to.equal(undefined);
			expect(record.usableSlots(announcedSlots, 0)).to.equal(announcedSlots);
		});
	}

	// Guards against: an upstream that always states the same numbers determines the limit.
	it('ignores a report that the gate\'s own count contradicts', () => {
		expect(recordAll(20, {running: 0, waiting: 0, slots: 10}).latest(0)).to.equal(undefined);
		expect(recordAll(20, {running: 38, waiting: 3, slots: 10}).latest(0)).to.equal(undefined);
		expect(recordAll(20, {running: 11, waiting: 0, slots: 10}).latest(0)).not.to.equal(undefined);
		expect(recordAll(20, {running: 37, waiting: 3, slots: 10}).latest(0)).not.to.equal(undefined);
	});

	it('keeps the last sound report for its lifetime when an unsound one follows', () => {
		expect(recordAll(8, sound, {...sound, running: -1}).usableSlots(announcedSlots, 0)).to.equal(10);
	});

	it('lowers the usable slots by the requests that wait inside the upstream, and restores them slowly', () => {
		const waiting = {running: 16, waiting: 4, slots: 40};
		const record = recordAll(20, waiting, waiting);
		expect(record.usableSlots(announcedSlots, 0)).to.equal(16);
		record.observe({running: 16, waiting: 0, slots: 40}, {inFlight: 16, announcedSlots}, 300);
		expect(record.usableSlots(announcedSlots, 400)).to.be.closeTo(19.2, 0.01);
	});

	// Guards against: a request that waits while a slot is being handed over costs a slot.
	it('ignores a request that waits in one report only', () => {
		const idle = {running: 20, waiting: 0, slots: 40};
		expect(recordAll(20, idle, {...idle, waiting: 1}, idle).usableSlots(announcedSlots, 0)).to.equal(announcedSlots);
	});

	it('never lowers the usable slots below a quarter for waiting requests', () => {
		const waiting = {running: 0, waiting: 4, slots: 40};
		expect(recordAll(4, waiting, waiting).usableSlots(announcedSlots, 0)).to.equal(10);
	});

	// Guards against: an upstream that states more slots than it has seems to refuse requests for another reason.
	it('believes in free slots only if the upstream has lately run more requests', () => {
		const full = {running: 10, waiting: 0, slots: 40};
		expect(recordAll(10, full, full).hasFreeSlots(0)).to.equal(false);
		expect(recordAll(12, full, {...full, running: 7}).hasFreeSlots(0)).to.equal(true);
		expect(new LoadRecord().hasFreeSlots(0)).to.equal(false);
	});
});
