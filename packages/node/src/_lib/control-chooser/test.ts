import {createFailureDomain} from '@fireflyglade/model';
import {expect} from 'chai';
import {ControlChooser} from './index.js';

const own = createFailureDomain('own');
const other = createFailureDomain('other');
const addresses = ['a', 'b', 'c', 'd'];
const domains = new Map([['a', other], ['b', other], ['c', own], ['d', own]]);

/** Reports repeatedly; all control processes but the failed ones answer. */
function report(chooser: ControlChooser, now: number, failed: readonly string[] = []): string {
	const address = chooser.choose(addresses, now);
	if (failed.includes(address)) {
		chooser.recordFailure(address, now);
	} else {
		chooser.recordAnswer(address, domains.get(address));
	}

	return address;
}

describe('ControlChooser', () => {
	it('settles on a control process of the own domain, whichever comes first', () => {
		for (let offset = 0; offset < addresses.length; offset++) {
			const chooser = new ControlChooser(own, offset);
			const chosen = addresses.map((_, index) => report(chooser, index));
			expect(domains.get(chosen.at(-1)!)).to.equal(own);
			expect(report(chooser, 100)).to.equal(chosen.at(-1));
		}
	});

	it('goes to another domain after a failure and returns to the own domain after a while', () => {
		const chooser = new ControlChooser(own, 2);
		for (const address of addresses) {
			chooser.recordAnswer(address, domains.get(address));
		}

		expect(report(chooser, 0)).to.equal('c');
		expect(report(chooser, 1, ['c'])).to.equal('c');
		expect(report(chooser, 2)).to.equal('a');
		expect(report(chooser, 4000)).to.equal('a');
		expect(report(chooser, 5100)).to.equal('c');
	});

	it('spends few reports on control processes that are gone for good, so that the configuration stays confirmed', () => {
		const chooser = new ControlChooser(createFailureDomain('without-control'), 0);
		const gone = ['b', 'c', 'd'];
		const secondsLost: number[] = [];
		for (let second = 0; second < 120; second++) {
			if (gone.includes(report(chooser, second * 1000, gone))) {
				secondsLost.push(second);
			}
		}

		expect(secondsLost.filter(second => second > 5)).to.have.lengthOf.at.most(3 * 5);
	});

	it('returns soon to a control process of the own domain that fails once', () => {
		const chooser = new ControlChooser(own, 2);
		for (const address of addresses) {
			chooser.recordAnswer(address, domains.get(address));
		}

		for (const now of [0, 60_000, 120_000]) {
			expect(report(chooser, now, ['c'])).to.equal('c');
			expect(report(chooser, now + 1)).to.equal('a');
			expect(report(chooser, now + 5100)).to.equal('c');
		}
	});

	it('tries every control process while all fail, the longest failed first', () => {
		const chooser = new ControlChooser(own, 0);
		const chosen = Array.from({length: 8}, (_, index) => report(chooser, index, addresses));
		expect(new Set(chosen.slice(0, 4))).to.deep.equal(new Set(addresses));
		expect(chosen.slice(4)).to.deep.equal(chosen.slice(0, 4));
	});

	it('stays where it is when the control processes do not know their domains', () => {
		const chooser = new ControlChooser(own, 1);
		for (let index = 0; index < addresses.length; index++) {
			chooser.recordAnswer(chooser.choose(addresses, index), undefined);
		}

		const settled = chooser.choose(addresses, 10);
		chooser.recordAnswer(settled, undefined);
		expect(chooser.choose(addresses, 11)).to.equal(settled);
	});
});
