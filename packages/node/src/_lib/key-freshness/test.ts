import {expect} from 'chai';
import {KeyFreshness} from './index.js';

describe('KeyFreshness', () => {
	const createFreshness = () => {
		const times = {monotonic: 0, suspensionAware: 0};
		const freshness = new KeyFreshness({monotonicNow: () => times.monotonic, suspensionAwareNow: () => times.suspensionAware}, 4000);
		const advance = (monotonic: number, suspensionAware = monotonic) => {
			times.monotonic += monotonic;
			times.suspensionAware += suspensionAware;
		};

		return {freshness, advance};
	};

	it('is not fresh before the first confirmation', () => {
		const {freshness} = createFreshness();
		expect(freshness.isConfirmed).to.equal(false);
		expect(freshness.isFresh()).to.equal(false);
	});

	it('measures the age from before the query was sent', () => {
		const {freshness, advance} = createFreshness();
		const queriedAt = freshness.now();
		advance(3500);
		freshness.confirm(queriedAt);
		expect(freshness.isFresh()).to.equal(true);
		advance(500);
		expect(freshness.isFresh()).to.equal(false);
		expect(freshness.isConfirmed).to.equal(true);
	});

	it('includes the time of a suspension in the age', () => {
		const {freshness, advance} = createFreshness();
		freshness.confirm(freshness.now());
		advance(10, 4010);
		expect(freshness.isFresh()).to.equal(false);
	});

	it('ignores a confirmation of an earlier query that arrives late', () => {
		const {freshness, advance} = createFreshness();
		const earlier = freshness.now();
		advance(2000);
		freshness.confirm(freshness.now());
		freshness.confirm(earlier);
		advance(3000);
		expect(freshness.isFresh()).to.equal(true);
	});
});
