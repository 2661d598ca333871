import {expect} from 'chai';
import {KeyFreshness} from './index.js';

describe('KeyFreshness', () => {
	const createFreshness = () => {
		const times = {monotonic: 0, suspended: 0};
		const freshness = new KeyFreshness({monotonicNow: () => times.monotonic, suspensionAwareNow: () => times.suspended}, 4000);
		const pass = (monotonic: number, suspended = monotonic) => {
			times.monotonic += monotonic;
			times.suspended += suspended;
		};

		return {freshness, pass};
	};

	it('is not fresh before the first confirmation', () => {
		const {freshness} = createFreshness();
		expect(freshness.isConfirmed).to.equal(false);
		expect(freshness.isFresh()).to.equal(false);
	});

	it('counts from before the question was sent', () => {
		const {freshness, pass} = createFreshness();
		const asked = freshness.now();
		pass(3500);
		freshness.confirm(asked);
		expect(freshness.isFresh()).to.equal(true);
		pass(500);
		expect(freshness.isFresh()).to.equal(false);
		expect(freshness.isConfirmed).to.equal(true);
	});

	it('counts the time of a suspension', () => {
		const {freshness, pass} = createFreshness();
		freshness.confirm(freshness.now());
		pass(10, 4010);
		expect(freshness.isFresh()).to.equal(false);
	});

	it('is not made older by an answer that comes late', () => {
		const {freshness, pass} = createFreshness();
		const early = freshness.now();
		pass(2000);
		freshness.confirm(freshness.now());
		freshness.confirm(early);
		pass(3000);
		expect(freshness.isFresh()).to.equal(true);
	});
});
