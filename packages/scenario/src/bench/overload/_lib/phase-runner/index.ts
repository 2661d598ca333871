/**
Runs the phases of the overload bench on one fleet: steady load at several
factors of the capacity, a slowdown of the upstreams, a storm by one team, a
rolling restart and a cold start.
*/

import {CallerLoad, type TeamLoad} from '../caller-load/index.js';
import {PhaseFigures, computeRecoverySeconds, type PhaseSummary} from '../phase-figures/index.js';
import {capacityOf, type Shape} from '../shapes/index.js';
import {VmFleet, type RunFigures} from '../vm-fleet/index.js';
import type {ControlKind} from '../vm-messages/index.js';

/** The measurements of one phase. */
export type PhaseResult = PhaseSummary & {
	readonly shape: string;
	readonly control: ControlKind;
	readonly phase: PhaseName;
	/** Goodput as a share of the backend's capacity or of the offered load, whichever is less. */
	readonly goodputShare: number;
	/** Smallest ratio of a team's goodput to its fair share. The storm phase counts only the teams that stay within their rates, the other phases count all teams. */
	readonly worstTeam: number;
	/** Share of the upstreams' runs that did not contribute to a good answer. */
	readonly uselessShare: number;
	/** 99th percentile of the event loop delay of the load generator in milliseconds; above about 50, the load generator itself is overloaded. */
	readonly callerLag: number;
	/** Set if the phase has a trigger that ends; infinite if goodput does not recover. */
	readonly recoverySeconds?: number;
};

/** A phase of the bench; a name such as `2x` is the offered load as a multiple of the capacity. */
export type PhaseName = '0.5x' | '0.9x' | '1x' | '2x' | '5x' | '10x' | 'slow-down' | 'storm' | 'rolling-restart' | 'cold-start';

type PhaseOptions = {
	readonly milliseconds: number;
	readonly warmUpMilliseconds?: number;
	readonly teams: readonly TeamLoad[];
	readonly retries: number;
	readonly teamShares?: ReadonlyMap<string, number>;
	/** Milliseconds from the start at which the trigger ends. */
	readonly triggerEnd?: number;
	/** Disturbs the fleet while the load runs. */
	readonly disturb?: () => Promise<void>;
};

const timeoutMilliseconds = 1000;
const importantShare = 0.05;
const warmUpMilliseconds = 1000;
const steadyPhaseMilliseconds = 5000;
const stormFactor = 8;
const callerRetries = 3;
const slowdownFactor = 4;
const slowdownStartMilliseconds = 4000;
const slowdownMilliseconds = 10_000;
const slowdownPhaseMilliseconds = 22_000;
const coldStartMilliseconds = 2000;
const coldStartPhaseMilliseconds = 7000;
const recoveredShare = 0.95;
const restartIntervalMilliseconds = 2200;
const runsPerGoodAnswer = 2;

/** Runs phases on a fleet of one shape. */
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
			urls: () => this.#fleet.urls, backendService: shape.backend.name, timeoutMilliseconds, seed,
		});
	}

	/** Starts the fleet and warms it up with 3 seconds at half its capacity. */
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
				return this.#run(phase, {milliseconds: steadyPhaseMilliseconds, teams: this.#teams(Number.parseFloat(phase)), retries: 0});
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
		const {name, serviceMilliseconds} = this.#shape.backend;
		return this.#run('slow-down', {
			milliseconds: slowdownPhaseMilliseconds,
			teams: this.#teams(0.8),
			retries: callerRetries,
			triggerEnd: slowdownStartMilliseconds + slowdownMilliseconds,
			disturb: async () => {
				await pause(slowdownStartMilliseconds);
				this.#fleet.setServiceTime(name, serviceMilliseconds * slowdownFactor);
				await pause(slowdownMilliseconds);
				this.#fleet.setServiceTime(name, serviceMilliseconds);
			},
		});
	}

	async #runStorm(): Promise<PhaseResult> {
		const teams = this.#teams(0.9);
		const stormy = teams.length - 1;
		const others = new Map(this.#shape.teams.slice(0, stormy).map(team => [team.name, team.part]));
		return this.#run('storm', {
			milliseconds: steadyPhaseMilliseconds + warmUpMilliseconds,
			teams: teams.map((team, index) => index === stormy ? {...team, offered: this.#shape.teams[index]!.part * this.#capacity * stormFactor} : team),
			retries: callerRetries,
			teamShares: others,
		});
	}

	async #runRollingRestart(): Promise<PhaseResult> {
		const {frontend, backend} = this.#shape;
		const names = [...this.#fleet.vmNamesOf(backend.name), ...this.#fleet.vmNamesOf(frontend.name)];
		return this.#run('rolling-restart', {
			milliseconds: names.length * restartIntervalMilliseconds,
			teams: this.#teams(0.4),
			retries: callerRetries,
			disturb: async () => {
				for (const name of names) {
					const next = pause(restartIntervalMilliseconds);
					await this.#fleet.restart(name);
					await next;
				}
			},
		});
	}

	async #runColdStart(): Promise<PhaseResult> {
		const {name, serviceMilliseconds} = this.#shape.backend;
		const cold = this.#fleet.vmNamesOf(name)[0]!;
		return this.#run('cold-start', {
			milliseconds: coldStartPhaseMilliseconds,
			teams: this.#teams(0.7),
			retries: 0,
			disturb: async () => {
				await this.#fleet.restart(cold);
				this.#fleet.setServiceTimeOfVm(cold, serviceMilliseconds * slowdownFactor);
				await pause(coldStartMilliseconds);
				this.#fleet.setServiceTimeOfVm(cold, serviceMilliseconds);
			},
		});
	}

	async #run(phase: PhaseName, options: PhaseOptions): Promise<PhaseResult> {
		await this.#fleet.takeEndedRuns();
		this.#load.takeEventLoopDelay();
		const figures = new PhaseFigures(options.warmUpMilliseconds ?? warmUpMilliseconds, options.milliseconds);
		const load = this.#load.run({
			teams: options.teams, milliseconds: options.milliseconds, importantShare, retries: options.retries, figures,
		});
		await Promise.all([load, options.disturb?.()]);
		return this.#result(phase, options, figures, await this.#fleet.takeEndedRuns());
	}

	#result(phase: PhaseName, options: PhaseOptions, figures: PhaseFigures, runs: RunFigures): PhaseResult {
		const summary = figures.summary();
		const shares = options.teamShares ?? new Map(this.#shape.teams.map(team => [team.name, team.part]));
		let offered = 0;
		for (const team of options.teams) {
			offered += team.offered;
		}

		const recovery = options.triggerEnd === undefined
			? {}
			: {
				recoverySeconds: computeRecoverySeconds(figures.goodByTenthOfSecond, options.triggerEnd, Math.min(offered, this.#capacity) * recoveredShare) ?? Number.POSITIVE_INFINITY,
			};
		return {
			shape: this.#shape.name,
			control: this.#control,
			phase,
			...summary,
			goodputShare: summary.goodput / Math.min(summary.offered, this.#capacity),
			worstTeam: figures.worstTeam(shares, this.#capacity),
			uselessShare: Math.max(0, 1 - (runsPerGoodAnswer * figures.totalGood / Math.max(1, runs.runs))),
			callerLag: this.#load.takeEventLoopDelay(),
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
