import {expect} from 'chai';
import * as fc from 'fast-check';
import {MemoryBudget, selectEviction, type MemoryShare} from './index.js';

const stalledMilliseconds = 5000;

describe('MemoryBudget', () => {
	let now: number;
	let budget: MemoryBudget;
	let evicted: string[];

	beforeEach(() => {
		now = 0;
		evicted = [];
		budget = new MemoryBudget(1_000_000, () => now);
	});

	function open(name: string, bytes: number): MemoryShare {
		now += 1;
		const share = budget.open(() => {
			evicted.push(name);
		});
		share.add(bytes);
		return share;
	}

	it('counts what all shares hold, until they are closed', () => {
		const first = open('first', 100);
		const second = open('second', 50);
		first.add(-30);
		expect(budget.heldBytes).to.equal(120);
		second.close();
		second.add(500);
		expect(budget.heldBytes).to.equal(70);
	});

	it('evicts what holds most and was active least recently, and leaves small shares alone', () => {
		open('small', 10_000);
		open('stalled', 400_000);
		open('moving', 500_000).add(50_000);
		open('newcomer', 60_000);
		expect(evicted).to.deep.equal(['stalled']);
		expect(budget.heldBytes).to.equal(620_000);
	});

	it('has no room beyond its limit for a share that is never evicted', () => {
		budget.open().add(1_000_001);
		expect(budget.hasRoom(0)).to.equal(false);
		expect(evicted).to.deep.equal([]);
	});

	it('makes room by a large share alone that has stalled', () => {
		open('small', 1000);
		open('large', 100_000);
		expect(budget.evictStalled()).to.equal(false);
		now += stalledMilliseconds;
		open('moving', 100_000);
		expect(budget.evictStalled()).to.equal(true);
		expect(budget.evictStalled()).to.equal(false);
		expect(evicted).to.deep.equal(['large']);
	});

	it('resumes those that wait as far as there is room', () => {
		const share = open('share', 750_000);
		let resumed = 0;
		const waiting = Array.from({length: 5}, () => () => {
			resumed += 1;
		});
		for (const resume of waiting) {
			budget.whenRelieved(resume);
		}

		const cancel = budget.whenRelieved(() => {
			resumed += 100;
		});
		cancel();
		expect(budget.isUnderPressure).to.equal(true);
		share.add(-100_000);
		expect(resumed).to.equal(2);
		share.close();
		expect(resumed).to.equal(5);
	});

	it('never holds more than its limit, whatever evictable shares take', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.integer({min: 1, max: 400_000})), {maxLength: 50}), additions => {
			const shares = Array.from({length: 10}, () => budget.open(() => undefined));
			for (const [index, bytes] of additions) {
				now += 1;
				shares[index]!.add(bytes);
				if (budget.heldBytes > budget.maximumBytes) {
					return false;
				}
			}

			for (const share of shares) {
				share.close();
			}

			return budget.heldBytes === 0;
		}));
	});
});

describe('selectEviction', () => {
	it('selects none where none holds anything or may be evicted', () => {
		expect(selectEviction([{bytes: 0, lastActiveAt: 0, isEvictable: true}, {bytes: 10, lastActiveAt: 0, isEvictable: false}])).to.equal(undefined);
	});
});
