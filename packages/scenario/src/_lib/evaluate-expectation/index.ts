/**
Compares what a scenario led to with a stated outcome.
*/

import {UnreachableError} from '@fireflyglade/model';
import type {ExpectationResult, ScenarioRequest} from '../../run-scenario/types.js';
import type {ScenarioExpectation} from '../../scenario.types.js';
import type {ScenarioWorld} from '../scenario-world/index.js';

/** Highest number of starts of one job, over all requests that were sent for it. */
function countRuns(requests: readonly ScenarioRequest[]): number {
	const runs = new Map<string, number>();
	for (const {job, starts} of requests) {
		runs.set(job, (runs.get(job) ?? 0) + starts.length);
	}

	return Math.max(0, ...runs.values());
}

function measure(expectation: ScenarioExpectation, world: ScenarioWorld): number {
	const {measure: kind, from, until} = expectation;
	const isInside = (at: number): boolean => at >= from && at < until;
	if (kind.kind === 'work') {
		const gate = [...world.gates.values()].find(({target}) => target.node === kind.node);
		return gate!.starts.filter(at => isInside(at)).length;
	}

	const requests = world.requests.filter(({caller}) => caller === kind.caller);
	const offered = requests.filter(({at}) => isInside(at));
	switch (kind.kind) {
		case 'goodput': {
			return offered.length === 0 ? 0 : offered.filter(({result}) => result === 'whole').length / offered.length;
		}

		case 'admitted': {
			return offered.filter(({isAdmitted}) => isAdmitted).length;
		}

		case 'refusals by rate': {
			return offered.filter(({result}) => result === 'rate').length;
		}

		case 'runs': {
			return countRuns(offered);
		}

		case 'starts': {
			return requests.flatMap(({starts}) => starts).filter(at => isInside(at)).length;
		}

		case 'false refusals': {
			return offered.filter(({result, starts}) => result === 'not-run' && starts.length > 0).length;
		}

		default: {
			throw new UnreachableError(kind);
		}
	}
}

/** Evaluates an expectation after the scenario has run. */
export function evaluateExpectation(expectation: ScenarioExpectation, world: ScenarioWorld): ExpectationResult {
	const measured = measure(expectation, world);
	const held = expectation.bound === 'at least' ? measured >= expectation.value : measured <= expectation.value;
	return {expectation, measured, held};
}
