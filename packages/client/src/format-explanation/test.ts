import {expect} from 'chai';
import {
	formatExplanation, type Exclusion, type ExplainedTarget, type Explanation,
} from './index.js';

type RouteExplanation = Extract<Explanation, {readonly kind: 'route'}>;

const target: ExplainedTarget = {
	upstream: 'orders.a', node: 'a', domain: 'north', isPreferred: true, load: 0.2,
	waitMilliseconds: 0, serviceMilliseconds: 84.4, probability: 0.934, successShare: 1, levelAgeMilliseconds: 20, part: 1,
};

function explain(targets: readonly ExplainedTarget[], change: Partial<RouteExplanation> = {}): string {
	return formatExplanation({
		kind: 'route', node: 'a', route: 'GET /orders', priority: 5, deadlineMilliseconds: 900, objectiveMilliseconds: 250, admittedShare: 1, services: [{
			service: 'orders', share: 1, isThrottled: false, targets,
		}], ...change,
	});
}

describe('formatExplanation', () => {
	it('says first where the request would probably go, and lists every reason against a target', () => {
		const exclusions: readonly Exclusion[] = [
			...(['drained', 'unreachable', 'stopping', 'unavailable', 'shedding', 'tried'] as const).map(kind => ({kind})), {kind: 'ejected', remainingMilliseconds: 800.2},
		];
		const lines = explain([target, ...exclusions.map(exclusion => ({...target, isPreferred: false, exclusion}))]).split('\n');
		expect(lines[0]).to.match(/^The request would probably go to orders\.a on a, the preferred one of 1 candidates: .*its probability is 0\.93, and it needs no hop to another node\.$/);
		expect(lines[1]).to.equal('route GET /orders, priority 5, deadline 900 ms, objective 250 ms');
		expect(lines[5]).to.match(/orders\.a +a +north +preferred +0\.20 +0 +84 +0\.93 +1\.00 +20 +1\.00/);
		for (const [index, text] of ['drained', 'unreachable', 'stopping', 'unavailable', 'sheds this priority', 'tried', 'ejected for 801 ms'].entries()) {
			expect(lines[6 + index]).to.include(` ${text} `);
		}
	});

	it('says that a request would be refused, and why', () => {
		const problem = {code: 'route-not-found', detail: 'no route has this path'};
		expect(formatExplanation({kind: 'refused', problem})).to.equal('The request would be refused: route-not-found, no route has this path.');
		expect(explain([])).to.match(/^The request would be refused: no upstream of orders may get it\./);
		expect(explain([{...target, isPreferred: false, exclusion: {kind: 'shedding'}}])).to.match(/^The request would be refused: every usable upstream of orders sheds its priority\./);
		expect(explain([target], {
			services: [{
				service: 'orders', share: 1, isThrottled: true, targets: [target],
			}],
		})).to.match(/^The entry node would refuse the request/);
		expect(explain([target], {admittedShare: 0.4})).to.include('admits 40 % of such requests');
	});
});
