/**
The overload bench: goodput, the worst-served team, wrongful refusals, recovery
and useless work under overload, beside a baseline without control.

Nodes run in processes of their own on loopback, each beside an upstream
stand-in with known slots and service time. Pennine's shape takes the phases
about teams and refusals, Rímac's those about recovery; `--long` runs all
phases on both.
*/

import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {PhaseRunner, type PhaseName, type PhaseResult} from './_lib/phases/index.js';
import {
	capacityOf, pennine, rimac, type Shape,
} from './_lib/shapes/index.js';
import type {ControlKind} from './_lib/vm-messages/index.js';

const allPhases: readonly PhaseName[] = ['0.5x', '0.9x', '1x', '2x', '5x', '10x', 'storm', 'rolling-restart', 'slow-down', 'cold-start'];
const penninePhases: readonly PhaseName[] = ['0.5x', '0.9x', '1x', '2x', '5x', '10x', 'storm', 'rolling-restart'];
const rimacPhases: readonly PhaseName[] = ['10x', 'slow-down', 'cold-start'];

/** Smallest goodput at 10 times the capacity, as a part of the capacity. */
const leastGoodput = 0.9;
const leastImportantShare = 0.99;
const leastTeamShare = 0.9;
const largestUnservedShare = 0.01;
const longestRecoverySeconds = 5;
const largestUselessShare = 0.02;

/** Runs the bench. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const results: PhaseResult[] = [];
	for (const control of ['controlled', 'uncontrolled'] as const) {
		results.push(
			...await runShape(pennine, control, options.long ? allPhases : penninePhases, options),
			...await runShape(rimac, control, options.long ? allPhases : rimacPhases, options),
		);
	}

	return {
		results: {
			capacity: Object.fromEntries([pennine, rimac].map(shape => [shape.name, capacityOf(shape)])),
			phases: results,
		},
		targets: results.filter(result => result.control === 'controlled').flatMap(result => targetsOf(result)),
	};
}

async function runShape(shape: Shape, control: ControlKind, phases: readonly PhaseName[], options: BenchOptions): Promise<PhaseResult[]> {
	const runner = new PhaseRunner(shape, control, options.seed);
	const results: PhaseResult[] = [];
	await runner.start();
	try {
		for (const phase of phases) {
			const result = await runner.run(phase);
			options.progress(`${shape.name} ${control} ${phase}: ${JSON.stringify(result)}`);
			results.push(result);
		}
	} finally {
		await runner.stop();
	}

	return results;
}

function targetsOf(result: PhaseResult): BenchTarget[] {
	const name = `${result.shape} ${result.phase}`;
	switch (result.phase) {
		case '0.5x':
		case '0.9x': {
			return [atMost(`${name}: refused or lost although the load fits`, result.unservedShare, largestUnservedShare)];
		}

		case '1x': {
			return [];
		}

		case '2x':
		case '5x':
		case '10x': {
			return [
				atLeast(`${name}: goodput as a part of the capacity`, result.goodputShare, leastGoodput),
				atLeast(`${name}: important requests served`, result.importantShare, leastImportantShare),
				atLeast(`${name}: worst-served team's part of its fair share`, result.worstTeam, leastTeamShare),
				atMost(`${name}: useless upstream work`, result.uselessShare, largestUselessShare),
			];
		}

		case 'storm': {
			return [atLeast(`${name}: worst-served team inside its rate`, result.worstTeam, leastTeamShare)];
		}

		case 'slow-down': {
			return [
				atMost(`${name}: seconds to 95 % of normal goodput`, result.recoverySeconds ?? Number.POSITIVE_INFINITY, longestRecoverySeconds),
				atMost(`${name}: useless upstream work`, result.uselessShare, largestUselessShare),
			];
		}

		case 'rolling-restart': {
			return [atMost(`${name}: requests cut`, result.ends.cut + result.ends.wrong, 0)];
		}

		case 'cold-start': {
			return [atMost(`${name}: refused or lost although the load fits`, result.unservedShare, largestUnservedShare)];
		}
	}
}

function atLeast(name: string, measured: number, bound: number): BenchTarget {
	return {
		name, target: `≥ ${bound}`, measured, held: measured >= bound,
	};
}

function atMost(name: string, measured: number, bound: number): BenchTarget {
	return {
		name, target: `≤ ${bound}`, measured, held: measured <= bound,
	};
}
