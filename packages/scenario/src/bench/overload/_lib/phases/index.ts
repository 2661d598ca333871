/**
The phases of the bench, each run on one fleet.
*/

import {CallerLoad, type TeamLoad} from '../caller-load/index.js';
import {PhaseFigures, recoverySeconds, type PhaseSummary} from '../phase-figures/index.js';
import {capacityOf, type Shape} from '../shapes/index.js';
import {VmFleet, type RunFigures} from '../vm-fleet/index.js';
import type {ControlKind} from '../vm-messages/index.js';

/** What a phase measured. */
export type PhaseResult = PhaseSummary & {
	readonly shape: string;
	readonly control: ControlKind;
	readonly phase: PhaseName;
	/** Goodput as a part of the capacity of the deep service, or of what was offered if that is less. */
	readonly goodputShare: number;
	/** Smallest part of its fair share that a team got which sent within its rate or, if all send too much, of any team. */
	readonly worstTeam: number;
	/** Share of the upstreams' runs that were not part of a whole answer in time. */
	readonly uselessShare: number;
	/** 99th percentile of the delay of the callers' event loop in milliseconds; above about 50 the callers themselves were overloaded. */
	readonly callerLag: number;
	/** Set if the phase has a trigger that ends; infinite if goodput did not come back. */
	readonly recoverySeconds?: number;
};

export type PhaseName = '0.5x' | '0.9x' | '1x' | '2x' | '5x' | '10x' | 'slow-down' | 'storm' | 'rolling-restart' | 'cold-start';

type PhaseOptions = {
	readonly milliseconds: number;
	readonly settleMilliseconds?: number;
	readonly teams: readonly TeamLoad[];
	readonly retries: number;
	readonly worstAmong?: ReadonlyMap<string, number>;
	/** Milliseconds from the start at which the trigger ends. */
	readonly triggerEnd?: number;
	/** What happens meanwhile. */
	readonly meanwhile?: () => Promise<void>;
};

const timeoutMilliseconds = 1000;
const importantShare = 0.05;
const settleMilliseconds = 1000;
const steadyMilliseconds = 5000;
const stormFactor = 8;
const callerRetries = 3;
const slowFactor = 4;
const slowFrom = 4000;
const slowMilliseconds = 10_000;
const slowPhaseMilliseconds = 22_000;
const coldMilliseconds = 2000;
const coldPhaseMilliseconds = 7000;
const recoveredShare = 0.95;
const restartMilliseconds = 2200;
const runsOfWholeAnswer = 2;

/** A fleet of one shape with its callers, on which phases are run. */
export class PhaseRunner {
	readonly #shape: Shape;
	readonly #control: ControlKind;
	readonly #fleet: VmFleet;
	readonly #load: CallerLoad;
	readonly #capacity: number;

	constructor(shape: Shape, control: ControlKind, seed: number) {
		this.#shape = shape;
		this.#control = control;
		this.#capacity = capacityOf(shape);
		this.#fleet = new VmFleet({
			shape, control, seed, timeoutMilliseconds,
		});
		this.#load = new CallerLoad({
			urls: () => this.#fleet.urls, deepService: shape.deep.name, timeoutMilliseconds, seed,
		});
	}

	/** Starts the fleet and warms it up. */
	async start(): Promise<void> {
		await this.#fleet.start();
		await this.#run('0.5x', {milliseconds: 3000, teams: this.#teams(0.5), retries: 0});
	}

	async stop(): Promise<void> {
		await this.#load.close();
		await this.#fleet.stop();
	}

	async run(phase: PhaseName): Promise<PhaseResult> {
		switch (phase) {
			case '0.5x':
			case '0.9x':
			case '1x':
			case '2x':
			case '5x':
			case '10x': {
				return this.#run(phase, {milliseconds: steadyMilliseconds, teams: this.#teams(Number.parseFloat(phase)), retries: 0});
			}

			case 'slow-down': {
				return this.#runSlowDown();
			}

			case 'storm': {
				return this.#runStorm();
			}

			case 'rolling-restart': {
				return this.#runRollingRestart();
			}

			case 'cold-start': {
				return this.#runColdStart();
			}
		}
	}

	async #runSlowDown(): Promise<PhaseResult> {
		const {name, serviceMilliseconds} = this.#shape.deep;
		return this.#run('slow-down', {
			milliseconds: slowPhaseMilliseconds,
			teams: this.#teams(0.8),
			retries: callerRetries,
			triggerEnd: slowFrom + slowMilliseconds,
			meanwhile: async () => {
				await pause(slowFrom);
				this.#fleet.setServiceTime(name, serviceMilliseconds * slowFactor);
				await pause(slowMilliseconds);
				this.#fleet.setServiceTime(name, serviceMilliseconds);
			},
		});
	}

	async #runStorm(): Promise<PhaseResult> {
		const teams = this.#teams(0.9);
		const stormy = teams.length - 1;
		const others = new Map(this.#shape.teams.slice(0, stormy).map(team => [team.name, team.part]));
		return this.#run('storm', {
			milliseconds: steadyMilliseconds + settleMilliseconds,
			teams: teams.map((team, index) => index === stormy ? {...team, offered: this.#shape.teams[index]!.part * this.#capacity * stormFactor} : team),
			retries: callerRetries,
			worstAmong: others,
		});
	}

	async #runRollingRestart(): Promise<PhaseResult> {
		const {front, deep} = this.#shape;
		const names = [...this.#fleet.vmsOf(deep.name), ...this.#fleet.vmsOf(front.name)];
		return this.#run('rolling-restart', {
			milliseconds: names.length * restartMilliseconds,
			teams: this.#teams(0.4),
			retries: callerRetries,
			meanwhile: async () => {
				for (const name of names) {
					const next = pause(restartMilliseconds);
					await this.#fleet.restart(name);
					await next;
				}
			},
		});
	}

	async #runColdStart(): Promise<PhaseResult> {
		const {name, serviceMilliseconds} = this.#shape.deep;
		const cold = this.#fleet.vmsOf(name)[0]!;
		return this.#run('cold-start', {
			milliseconds: coldPhaseMilliseconds,
			teams: this.#teams(0.7),
			retries: 0,
			meanwhile: async () => {
				await this.#fleet.restart(cold);
				this.#fleet.setServiceTimeOf(cold, serviceMilliseconds * slowFactor);
				await pause(coldMilliseconds);
				this.#fleet.setServiceTimeOf(cold, serviceMilliseconds);
			},
		});
	}

	async #run(phase: PhaseName, options: PhaseOptions): Promise<PhaseResult> {
		await this.#fleet.takeRuns();
		this.#load.takeLag();
		const figures = new PhaseFigures(options.settleMilliseconds ?? settleMilliseconds, options.milliseconds);
		const load = this.#load.run({
			teams: options.teams, milliseconds: options.milliseconds, importantShare, retries: options.retries, figures,
		});
		await Promise.all([load, options.meanwhile?.()]);
		return this.#result(phase, options, figures, await this.#fleet.takeRuns());
	}

	#result(phase: PhaseName, options: PhaseOptions, figures: PhaseFigures, runs: RunFigures): PhaseResult {
		const summary = figures.summary();
		const parts = options.worstAmong ?? new Map(this.#shape.teams.map(team => [team.name, team.part]));
		let offered = 0;
		for (const team of options.teams) {
			offered += team.offered;
		}

		const recovery = options.triggerEnd === undefined
			? {}
			: {
				recoverySeconds: recoverySeconds(figures.goodByTenth, options.triggerEnd, Math.min(offered, this.#capacity) * recoveredShare) ?? Number.POSITIVE_INFINITY,
			};
		return {
			shape: this.#shape.name,
			control: this.#control,
			phase,
			...summary,
			goodputShare: summary.goodput / Math.min(summary.offered, this.#capacity),
			worstTeam: figures.worstTeam(parts, this.#capacity),
			uselessShare: Math.max(0, 1 - (runsOfWholeAnswer * figures.goodInAll / Math.max(1, runs.runs))),
			callerLag: this.#load.takeLag(),
			...recovery,
		};
	}

	#teams(factor: number): TeamLoad[] {
		return this.#shape.teams.map(team => ({name: team.name, offered: team.part * this.#capacity * factor}));
	}
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
