import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import {ServiceTimeEstimate} from './index.js';

const tight = 1;
const loose = 2;
const tightMilliseconds = 84;
const looseMilliseconds = 15;
const runIntervalMilliseconds = 33;
const millisecondsInSecond = 1000;

/** Records 30 runs a second of two classes with log-normal durations; `tailRatio` is the factor on 2 in 100 of them. */
function recordRuns(estimate: ServiceTimeEstimate, random: SeededRandom, options: {from: number; to: number; pace: number; tailRatio: number}, observe?: (now: number) => void): void {
	for (let now = options.from; now < options.to; now += runIntervalMilliseconds) {
		const isTight = random.nextFraction() < 0.4;
		const normal = Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction());
		const tail = random.nextFraction() < 0.02 ? options.tailRatio : 1;
		const mean = isTight ? tightMilliseconds : looseMilliseconds;
		estimate.record(isTight ? tight : loose, mean * options.pace * tail * Math.exp((0.4 * normal) - 0.08), now);
		observe?.(now);
	}
}

describe('ServiceTimeEstimate', () => {
	// Guards against an entry node that places work by the mean of all classes.
	it('estimates each class by its own runs, and a class without runs by the overall mean', () => {
		const estimate = new ServiceTimeEstimate();
		expect(estimate.expected(tight, 0)).to.equal(undefined);
		recordRuns(estimate, new SeededRandom(1), {
			from: 0, to: 20_000, pace: 1, tailRatio: 5,
		});
		expect(estimate.expected(tight, 20_000)! / tightMilliseconds).to.be.within(0.7, 1.4);
		expect(estimate.expected(loose, 20_000)! / looseMilliseconds).to.be.within(0.7, 1.4);
		expect(estimate.expected(99, 20_000)).to.be.within(20, 80);
		expect(estimate.at(99, 0, 20_000)).to.equal(0);
	});

	// Guards against placement on an upstream whose machine became 2.5 times slower.
	it('follows a change of pace of all classes within about half a second, and back', () => {
		const errors: number[] = [];
		for (let seed = 1; seed <= 40; seed++) {
			const estimate = new ServiceTimeEstimate();
			const random = new SeededRandom(seed);
			let from = 0;
			for (const [milliseconds, pace] of [[20_000, 1], [550, 2.5], [550, 1]] as const) {
				recordRuns(estimate, random, {
					from, to: from + milliseconds, pace, tailRatio: 5,
				});
				from += milliseconds;
				errors.push(Math.abs(Math.log(estimate.expected(tight, from)! / tightMilliseconds / pace)));
			}
		}

		errors.sort((left, right) => left - right);
		expect(errors[Math.floor(errors.length / 2)]!).to.be.below(Math.log(1.25));
		expect(errors[Math.floor(errors.length * 0.9)]!).to.be.below(Math.log(1.7));
	});

	// Guards against a single slow run that turns work away from an upstream.
	it('rises by less than a third after a single run that takes seven times as long', () => {
		const estimate = new ServiceTimeEstimate();
		recordRuns(estimate, new SeededRandom(3), {
			from: 0, to: 10 * millisecondsInSecond, pace: 1, tailRatio: 1,
		});
		const before = estimate.expected(tight, 10_000)!;
		estimate.record(tight, tightMilliseconds * 7, 10_000);
		expect(estimate.expected(tight, 10_000)! / before).to.be.within(1, 4 / 3);
	});

	// Guards against memory that grows with the number of routes.
	it('drops the class whose last run is the longest ago', () => {
		const estimate = new ServiceTimeEstimate();
		for (let workClass = 1; workClass <= 300; workClass++) {
			estimate.record(workClass, 10, workClass);
		}

		expect(estimate.at(1, 0, 300)).to.equal(0);
		expect(estimate.at(300, 0, 300)).to.equal(10);
	});
});
