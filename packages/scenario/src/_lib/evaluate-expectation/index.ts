/**
Evaluates an expectation of a scenario on the results of a finished simulation.
*/

import {UnreachableError} from '@fireflyglade/model';
import type {ExpectationResult, ScenarioRequest} from '../../run-scenario/types.js';
import type {ScenarioExpectation} from '../../scenario.types.js';
import type {ScenarioSimulation} from '../scenario-simulation/index.js';

/** Returns the highest number of starts of a single job, summed over all requests that carry its key. */
function countRuns(requests: readonly ScenarioRequest[]): number {
	const runs = new Map<string, number>();
	for (const {job, starts} of requests) {
		runs.set(job, (runs.get(job) ?? 0) + starts.length);
	}

	return Math.max(0, ...runs.values());
}

function computeMeasure(expectation: ScenarioExpectation, simulation: ScenarioSimulation): number {
	const {measure: scenarioMeasure, from, until} = expectation;
	const isInWindow = (at: number): boolean => at >= from && at < until;
	if (scenarioMeasure.kind === 'work') {
		const gate = [...simulation.gates.values()].find(({target}) => target.node === scenarioMeasure.node);
		return gate!.starts.filter(at => isInWindow(at)).length;
	}

	const requests = simulation.requests.filter(({caller}) => caller === scenarioMeasure.caller);
	const requestsInWindow = requests.filter(({at}) => isInWindow(at));
	switch (scenarioMeasure.kind) {
		case 'goodput': {
			return requestsInWindow.length === 0 ? 0 : requestsInWindow.filter(({result}) => result === 'whole').length / requestsInWindow.length;
		}

		case 'admitted': {
			return requestsInWindow.filter(({isAdmitted}) => isAdmitted).length;
		}

		case 'refusals by rate': {
			return requestsInWindow.filter(({result}) => result === 'rate').length;
		}

		case 'runs': {
			return countRuns(requestsInWindow);
		}

		case 'starts': {
			return requests.flatMap(({starts}) => starts).filter(at => isInWindow(at)).length;
		}

		case 'false refusals': {
			return requestsInWindow.filter(({result, starts}) => result === 'not-run' && starts.length > 0).length;
		}

		default: {
			throw new UnreachableError(scenarioMeasure);
		}
	}
}

/** Evaluates an expectation on a simulation that has run to its end. */
export function evaluateExpectation(expectation: ScenarioExpectation, simulation: ScenarioSimulation): ExpectationResult {
	const measured = computeMeasure(expectation, simulation);
	const isMet = expectation.bound === 'at least' ? measured >= expectation.value : measured <= expectation.value;
	return {expectation, measured, isMet};
}
