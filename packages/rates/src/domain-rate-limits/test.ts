import {
	createFailureDomain, createTeamName, emptyConfiguration, type Configuration, type FailureDomain, type Revision,
} from '@fireflyglade/model';
import {expect} from 'chai';
import {microtokensInToken} from '../_lib/constants.js';
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

function sumOf(rateTolerance: RateTolerance | undefined, read: (rateLimits: DomainRateLimits, domain: FailureDomain) => number): number {
	let sum = 0;
	for (const domain of domains) {
		const rateLimits = new DomainRateLimits(domain, rateTolerance);
		rateLimits.setConfiguration(createConfiguration());
		sum += read(rateLimits, domain);
	}

	return sum / microtokensInToken;
}

describe('DomainRateLimits', () => {
	it('splits rate and burst among the domains without a remainder', () => {
		expect(sumOf(undefined, rateLimits => rateLimits.own(council).burst)).to.equal(30);
		expect(sumOf(undefined, rateLimits => rateLimits.own(council).ratePerSecond)).to.equal(20);
	});

	it('adds the tolerance to the burst, but not to the rate', () => {
		// The tolerance is 10 fixed tokens, and 0.05 of the burst of 30 plus the 100 tokens that the rate produces in a window.
		expect(sumOf(tolerance, rateLimits => rateLimits.own(council).burst)).to.equal(30 + 10 + 6.5);
		expect(sumOf(tolerance, rateLimits => rateLimits.own(council).ratePerSecond)).to.equal(20);
	});

	it('gives an unknown team a limit of 0 despite the tolerance', () => {
		const rateLimits = new DomainRateLimits(domains[0]!, tolerance);
		rateLimits.setConfiguration({...createConfiguration(), teams: new Map()});
		expect(rateLimits.own(council)).to.deep.equal({ratePerSecond: 0, burst: 0});
	});
});
