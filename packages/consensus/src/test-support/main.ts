/**
Runs the simulation for many seeds: `npm run explore -- --seeds 1000 --members 3 --from 1`.

Stops at the first seed that fails a check, prints the seed and a shrunk list of
steps, and exits with a non-zero code.
*/

import {parseArgs} from 'node:util';
import {runSteps, shrinkSteps, type RunOptions} from './explore.js';
import {generateSteps} from './steps.js';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '1000'},
		members: {type: 'string', default: '3'},
		from: {type: 'string', default: '1'},
	},
});
const seeds = Number(values.seeds);
const members = Number(values.members);
const from = Number(values.from);
const startedAt = performance.now();
const totals = {
	committed: 0, reads: 0, writes: 0, terms: 0, snapshots: 0, memberChanges: 0,
};
let failedSeed: number | undefined;
for (let seed = from; seed < from + seeds && failedSeed === undefined; seed++) {
	const result = runSteps(generateSteps(seed), {members, injectedFault: 'none'});
	totals.committed += result.committed;
	totals.reads += result.reads;
	totals.writes += result.writes;
	totals.terms += result.terms;
	totals.snapshots += result.snapshots;
	totals.memberChanges += result.memberChanges;
	failedSeed = result.violation === undefined ? undefined : seed;
}

if (failedSeed !== undefined) {
	printFailure(failedSeed);
	process.exitCode = 1;
}

console.log(JSON.stringify({
	seeds, from, members, ...totals, failedSeed, seconds: Math.round((performance.now() - startedAt) / 1000),
}));

function printFailure(seed: number): void {
	const options: RunOptions = {members, injectedFault: 'none'};
	const steps = shrinkSteps(generateSteps(seed), options);
	console.log(JSON.stringify({
		seed, members, violation: runSteps(steps, options).violation, steps: steps.map(step => JSON.stringify(step)),
	}, undefined, '\t'));
}
