import {
	createFailureDomain, createTeamName, emptyConfiguration, type Configuration, type FailureDomain, type Revision,
} from '@fireflyglade/model';
import {expect} from 'chai';
import {partsInToken} from '../_lib/constants.js';
import type {RateTolerance} from '../types.js';
import {DomainRateLimits} from './index.js';

const council = createTeamName('council');
const domains = ['north', 'south', 'west'].map(name => createFailureDomain(name));
const tolerance: RateTolerance = {fixed: 10, share: 0.05, windowMilliseconds: 5000};

function createConfiguration(): Configuration {
	return {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map([[council, {name: council, ratePerSecond: 20, burst: 30}]]),
		domains: new Map(domains.map(name => [name, {name, weight: 1, witnesses: []}])),
	};
}

function sumOf(tolerated: RateTolerance | undefined, read: (book: DomainRateLimits, domain: FailureDomain) => number): number {
	let sum = 0;
	for (const domain of domains) {
		const book = new DomainRateLimits(domain, tolerated);
		book.setConfiguration(createConfiguration());
		sum += read(book, domain);
	}

	return sum / partsInToken;
}

describe('EntitlementBook', () => {
	it('splits rate and burst among the domains without a rest', () => {
		expect(sumOf(undefined, book => book.own(council).burst)).to.equal(30);
		expect(sumOf(undefined, book => book.own(council).ratePerSecond)).to.equal(20);
	});

	it('adds what is tolerated to the burst, and nothing to the rate', () => {
		// 10 tokens and a twentieth of a burst of 30 and of the 100 tokens of a window.
		expect(sumOf(tolerance, book => book.own(council).burst)).to.equal(30 + 10 + 6.5);
		expect(sumOf(tolerance, book => book.own(council).ratePerSecond)).to.equal(20);
	});

	it('gives a team that is not known nothing, whatever is tolerated', () => {
		const book = new DomainRateLimits(domains[0]!, tolerance);
		book.setConfiguration({...createConfiguration(), teams: new Map()});
		expect(book.own(council)).to.deep.equal({ratePerSecond: 0, burst: 0});
	});
});
