/**
Explores many seeds: `npm run explore -- --seeds 1000 --members 3 --from 1`.

It ends with a non-zero code at the first seed that fails, and prints the seed
and a shrunk list of steps.
*/

import {parseArgs} from 'node:util';
import {makeSteps, runSteps, shrinkSteps} from './explore.js';

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
let committed = 0;
let reads = 0;
let terms = 0;
for (let seed = from; seed < from + seeds; seed++) {
	const steps = makeSteps(seed);
	const result = runSteps(steps, {members, sabotage: 'none'});
	committed += result.committed;
	reads += result.reads;
	terms += result.terms;
	if (result.violation !== undefined) {
		const shrunk = shrinkSteps(steps, {members, sabotage: 'none'});
		console.log(JSON.stringify({
			seed, members, violation: runSteps(shrunk, {members, sabotage: 'none'}).violation, steps: shrunk,
		}, undefined, '\t'));
		process.exitCode = 1;
		break;
	}
}

console.log(JSON.stringify({
	seeds, from, members, committed, reads, terms, failed: process.exitCode === 1, seconds: Math.round((performance.now() - startedAt) / 1000),
}));
