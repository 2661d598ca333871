/**
The overload bench. It measures goodput, the goodput of the worst-served team,
wrongful refusals, recovery time and useless upstream work under overload, and
compares them with a baseline without overload control.

Each node runs in its own process on loopback, beside a simulated upstream with
known slots and service time. By default the Pennine shape runs the phases about
team fairness and refusals and the Rímac shape those about recovery; `--long`
runs all phases on both shapes.
*/

import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {PhaseRunner, type PhaseName, type PhaseResult} from './_lib/phase-runner/index.js';
import {
	capacityOf, pennine, rimac, type Shape,
} from './_lib/shapes/index.js';
import type {ControlKind} from './_lib/vm-messages/index.js';

const allPhases: readonly PhaseName[] = ['0.5x', '0.9x', '1x', '2x', '5x', '10x', 'storm', 'rolling-restart', 'slow-down', 'cold-start'];
const penninePhases: readonly PhaseName[] = ['0.5x', '0.9x', '1x', '2x', '5x', '10x', 'storm', 'rolling-restart'];
const rimacPhases: readonly PhaseName[] = ['10x', 'slow-down', 'cold-start'];

/** Minimum goodput at 2 to 10 times the capacity, as a share of the capacity. */
const minimumGoodputShare = 0.9;
const minimumImportantShare = 0.99;
const minimumTeamShare = 0.9;
const maximumUnservedShare = 0.01;
const maximumRecoverySeconds = 5;
const maximumUselessShare = 0.02;

/** Runs the overload bench with and without overload control, and checks the targets of the controlled runs. */
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
			return [atMost(`${name}: refused or lost although the load fits`, result.unservedShare, maximumUnservedShare)];
		}

		case '1x': {
			return [];
		}

		case '2x':
		case '5x':
		case '10x': {
			return [
				atLeast(`${name}: goodput as a part of the capacity`, result.goodputShare, minimumGoodputShare),
				atLeast(`${name}: important requests served`, result.importantShare, minimumImportantShare),
				atLeast(`${name}: worst-served team's part of its fair share`, result.worstTeam, minimumTeamShare),
				atMost(`${name}: useless upstream work`, result.uselessShare, maximumUselessShare),
			];
		}

		case 'storm': {
			return [atLeast(`${name}: worst-served team inside its rate`, result.worstTeam, minimumTeamShare)];
		}

		case 'slow-down': {
			return [
				atMost(`${name}: seconds to 95 % of normal goodput`, result.recoverySeconds ?? Number.POSITIVE_INFINITY, maximumRecoverySeconds),
				atMost(`${name}: useless upstream work`, result.uselessShare, maximumUselessShare),
			];
		}

		case 'rolling-restart': {
			return [atMost(`${name}: requests cut`, result.ends.cut + result.ends.wrong, 0)];
		}

		case 'cold-start': {
			return [atMost(`${name}: refused or lost although the load fits`, result.unservedShare, maximumUnservedShare)];
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
