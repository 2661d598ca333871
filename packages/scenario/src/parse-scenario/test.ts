import {expect} from 'chai';
import fc from 'fast-check';
import {ScenarioSyntaxError} from '../scenario-syntax-error/index.js';
import {parseScenario} from './index.js';

const text = `# a comment
upstream node-1 service orders-app domain north slots 10 time 20ms
caller clerk key key-1 calls GET /orders/:id domain north rate 20/s from 1s until 500ms jobs
at 5s statement 'withdraw key key-1'
at 2s slow node-1 to 1.5s
expect goodput of clerk at least 90% from 1s until 4s
expect work of node-1 at most 3
end 10s
`;

function getSyntaxError(scenario: string): ScenarioSyntaxError | undefined {
	try {
		parseScenario(scenario);
		return undefined;
	} catch (error) {
		expect(error).instanceOf(ScenarioSyntaxError);
		return error as ScenarioSyntaxError;
	}
}

describe('parseScenario', () => {
	it('parses upstreams, callers, expectations, and events in order of time', () => {
		const scenario = parseScenario(text);
		expect(scenario.end).equal(10_000);
		expect(scenario.upstreams[0]).deep.include({node: 'node-1', slots: 10, serviceMilliseconds: 20});
		expect(scenario.callers[0]).deep.include({
			key: 'key-1', path: '/orders/:id', ratePerSecond: 20, until: 500, jobs: true,
		});
		expect(scenario.events.map(({at}) => at)).deep.equal([2000, 5000]);
		expect(scenario.expectations[0]).deep.include({
			measure: {kind: 'goodput', caller: 'clerk'}, bound: 'at least', value: 0.9, line: 6,
		});
	});

	it('reports the line and column of an error', () => {
		const syntaxError = getSyntaxError(text.replace('slots 10', 'slots ten'));
		expect([syntaxError?.line, syntaxError?.column]).deep.equal([2, 55]);
		expect(getSyntaxError(text.replace('at 2s slow', 'at 2s slaw'))?.line).equal(5);
		expect(getSyntaxError('upstream node-1 service a')?.column).equal(26);
	});

	it('rejects references to undeclared names', () => {
		expect(getSyntaxError(text.replace('of clerk', 'of clark'))?.line).equal(6);
		expect(getSyntaxError(text.replace('slow node-1', 'slow node-2'))?.line).equal(5);
	});

	it('throws only syntax errors with a valid line and column for a truncated scenario with random text appended', () => {
		fc.assert(fc.property(fc.nat(text.length), fc.string({maxLength: 5}), (length, rest) => {
			const syntaxError = getSyntaxError(`${text.slice(0, length)}${rest}`);
			expect(syntaxError?.line ?? 1).within(1, text.split('\n').length + rest.length);
			expect(syntaxError?.column ?? 1).least(1);
		}), {seed: 3, numRuns: 500});
	});
});
