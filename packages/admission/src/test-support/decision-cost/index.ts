/**
Prints how many admission decisions one core makes per second. Run it with
`node packages/admission/dist/test-support/decision-cost/index.js`.
*/

import {createTeamName, type TeamName} from '@fireflyglade/model';
import {GateAdmission} from '../../gate-admission/index.js';
import {createRequest, idsOf} from '../requests/index.js';

const decisions = 200_000;
const teamCounts = [8, 200];
const slots = 64;
const objective = 5000;

function createTeams(count: number): TeamName[] {
	return Array.from({length: count}, (_, index) => createTeamName(`team-${index}`));
}

/** Measures offers per second to a full gate, each of which leads to a refusal. */
function measureRefusals(teams: readonly TeamName[], objective?: number): number {
	const gate = new GateAdmission({slots, now: 0});
	const start = performance.now();
	for (let index = 0; index < decisions; index++) {
		gate.offer(createRequest(`request-${index}`, {team: teams[index % teams.length]!, deadline: 10_000 + index, objective}), 0);
	}

	return decisions * 1000 / (performance.now() - start);
}

/** Measures requests per second that are offered, queued, started and finished at a full gate. */
function measureRuns(teams: readonly TeamName[], objective?: number): number {
	const gate = new GateAdmission({slots, now: 0});
	const running = [];
	for (let index = 0; index < slots * 2; index++) {
		const request = createRequest(`first-${index}`, {team: teams[index % teams.length]!});
		running.push(...idsOf(gate.offer(request, 0), 'run').map(() => request.requestId));
	}

	const start = performance.now();
	for (let index = 0; index < decisions; index++) {
		gate.offer(createRequest(`request-${index}`, {team: teams[index % teams.length]!, objective}), 0);
		for (const decision of gate.finish(running.shift()!, 'success', 0)) {
			running.push(decision.requestId);
		}
	}

	return decisions * 1000 / (performance.now() - start);
}

/** Measures requests per second that run at once and finish at a gate whose queue is empty. */
function measureImmediateRuns(teams: readonly TeamName[]): number {
	const gate = new GateAdmission({slots, now: 0});
	const requests = teams.map((team, index) => createRequest(`request-${index}`, {team, deadline: Number.POSITIVE_INFINITY}));
	const start = performance.now();
	for (let index = 0; index < decisions; index++) {
		const request = requests[index % requests.length]!;
		gate.offer(request, index / 10);
		gate.finish(request.requestId, 'success', (index + 1) / 10);
	}

	return decisions * 1000 / (performance.now() - start);
}

for (const count of teamCounts) {
	const teams = createTeams(count);
	measureRefusals(teams);
	measureRuns(teams);
	measureImmediateRuns(teams);
	const refusals = Math.round(measureRefusals(teams));
	const queuedRuns = Math.round(measureRuns(teams));
	const immediateRuns = Math.round(measureImmediateRuns(teams));
	console.log(`${count} teams: ${refusals} refusals a second, ${queuedRuns} runs through the queue a second, ${immediateRuns} runs at once a second`);
	const refusalsByObjective = Math.round(measureRefusals(teams, objective));
	const queuedRunsByObjective = Math.round(measureRuns(teams, objective));
	console.log(`${count} teams with objectives: ${refusalsByObjective} refusals a second, ${queuedRunsByObjective} runs through the queue a second`);
}
