import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import {PriorityShares} from './index.js';

type Load = {
	/** Requests a second, by priority. */
	readonly demand: ReadonlyMap<number, number>;
	/** Tokens a second. */
	readonly supply: number;
	readonly seconds: number;
};

type Played = {readonly asked: Map<number, number>; readonly admitted: Map<number, number>; readonly total: number};

/** Sends random arrivals through a token bucket with a burst of a quarter of a second, with or without shares. */
function play(load: Load, shares: PriorityShares | undefined, start = 0): Played {
	const random = new SeededRandom(7);
	const arrivals = [...load.demand];
	const asked = new Map<number, number>();
	const admitted = new Map<number, number>();
	let tokens = load.supply / 4;
	let total = 0;
	for (let now = start; now < start + (load.seconds * 1000); now++) {
		tokens = Math.min(Math.max(2, load.supply / 4), tokens + (load.supply / 1000));
		arrivals.push(arrivals.shift()!);
		for (const [priority, perSecond] of arrivals) {
			if (random.nextFraction() >= perSecond / 1000) {
				continue;
			}

			asked.set(priority, (asked.get(priority) ?? 0) + 1);
			if (shares?.admits(priority, now) === false) {
				continue;
			}

			const isAdmitted = tokens >= 1;
			shares?.recordDecision(isAdmitted);
			if (isAdmitted) {
				tokens--;
				total++;
				admitted.set(priority, (admitted.get(priority) ?? 0) + 1);
			}
		}
	}

	return {asked, admitted, total};
}

const excessive: Load = {demand: new Map([[0, 20], [1, 120], [2, 60]]), supply: 40, seconds: 10};

describe('PriorityShares', () => {
	// Guards against a team's own unimportant requests using up the tokens of its important ones while it sends five times its rate.
	it('charges the important requests of a team first while it exceeds its rate', () => {
		const servedShare = ({asked, admitted}: Played, priority: number): number => (admitted.get(priority) ?? 0) / asked.get(priority)!;
		const without = play(excessive, undefined);
		const withShares = play(excessive, new PriorityShares(0));
		expect(servedShare(without, 0)).to.be.lessThan(0.3);
		expect(servedShare(withShares, 0)).to.be.greaterThan(0.7);
		expect(servedShare(withShares, 2)).to.be.lessThan(servedShare(withShares, 1));
	});

	// Guards against tokens that remain unused because too few requests are charged.
	it('uses as many tokens as without shares', () => {
		for (const supply of [5, 40, 150, 190]) {
			const load = {...excessive, supply};
			expect(play(load, new PriorityShares(0)).total).to.be.greaterThan(play(load, undefined).total * 0.95);
		}
	});

	it('charges everything while the team stays within its rate', () => {
		const shares = new PriorityShares(0);
		const load = {...excessive, supply: 260};
		expect(play(load, shares).total).to.equal(play(load, undefined).total);
	});

	// Guards against shares that outlast the excess.
	it('charges everything again within two seconds after the excess has ended', () => {
		const shares = new PriorityShares(0);
		play(excessive, shares);
		const calm: Load = {demand: new Map([[0, 4], [1, 20], [2, 10]]), supply: 40, seconds: 2};
		play(calm, shares, 10_000);
		const later = {...calm, seconds: 5};
		expect(play(later, shares, 12_000).total).to.equal(play(later, undefined, 12_000).total);
	});

	it('asks refused callers to wait longer the more their priority and the more important ones exceed the rate, and spreads them', () => {
		const shares = new PriorityShares(0);
		play(excessive, shares);
		const delays = (priority: number): readonly number[] => Array.from({length: 50}, () => shares.retryAfterMilliseconds(priority));
		expect(Math.max(...delays(0))).to.be.lessThan(Math.min(...delays(2)));
		expect(new Set(delays(2)).size).to.be.greaterThan(25);
		expect(Math.max(...delays(2))).to.be.at.most(2000);
	});
});
