/**
Starts and stops one process for each VM of a shape, and relays the targets that
each of them announces to all others.
*/

import {fork, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {
	createRouteId, createServiceName, createTeamName, emptyConfiguration, FireflygladeError,
	type Configuration, type Key, type KeyDigest, type KeyId, type Revision, type Route,
} from '@fireflyglade/model';
import {serializeConfiguration} from '../relayed-fleet/index.js';
import {capacityOf, type ServiceShape, type Shape} from '../shapes/index.js';
import type {
	ControlKind, VmCommand, VmNotice, VmSettings, VmTarget,
} from '../vm-messages/index.js';

/** Thrown when the process of a VM exits while the bench waits for a notice from it. */
export class BenchVmError extends FireflygladeError {
	get code(): 'bench-vm' {
		return 'bench-vm';
	}
}

/** Number of runs that have ended at the upstreams of a fleet, and how many of them were cancelled. */
export type RunFigures = {
	readonly runs: number;
	readonly cancelled: number;
};

type VmProcess = {
	readonly settings: VmSettings;
	readonly child: ChildProcess;
	readonly callersUrl: string;
};

/** Options of a fleet. */
export type VmFleetOptions = {
	readonly shape: Shape;
	readonly control: ControlKind;
	readonly seed: number;
	/** Timeout of the routes in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Paths of the frontend service, by importance. */
export const frontendPaths = {normal: '/report', important: '/sign-off'} as const;
const backendPaths = {normal: '/order', important: '/invoice'} as const;
const normalPriority = 5;
const importantPriority = 0;
const retryLimit = 2;
const vmProcessFile = fileURLToPath(new URL('../vm-process/index.js', import.meta.url));

/** Returns the secret of a team's key. */
export function secretOf(team: string): string {
	return `secret-of-${team}-0123456789abcdef`;
}

/** The running VMs of one shape. */
export class VmFleet {
	readonly #vms = new Map<string, VmProcess>();
	readonly #targets = new Map<string, VmTarget>();
	readonly #settings: readonly VmSettings[];

	constructor(options: VmFleetOptions) {
		this.#settings = createVmSettings(options);
	}

	/** URLs at which the running VMs accept requests of callers. */
	get urls(): string[] {
		return [...this.#vms.values()].map(vm => vm.callersUrl);
	}

	/** Returns the names of the VMs that run upstreams of a service. */
	vmNamesOf(service: string): string[] {
		return this.#settings.filter(settings => settings.service === service).map(settings => settings.name);
	}

	async start(): Promise<void> {
		for (const settings of this.#settings) {
			await this.#startVm(settings);
		}
	}

	async stop(): Promise<void> {
		await Promise.all([...this.#vms.keys()].map(async name => this.#stopVm(name)));
	}

	/** Stops a VM gracefully and starts it again. */
	async restart(name: string): Promise<void> {
		const vm = this.#vms.get(name)!;
		await this.#stopVm(name);
		await this.#startVm(vm.settings);
	}

	/** Sets the service time of all upstreams of a service. */
	setServiceTime(service: string, milliseconds: number): void {
		for (const vm of this.#vms.values()) {
			if (vm.settings.service === service) {
				send(vm.child, {kind: 'set-service-time', milliseconds});
			}
		}
	}

	/** Sets the service time of the upstream of one VM. */
	setServiceTimeOfVm(name: string, milliseconds: number): void {
		const vm = this.#vms.get(name);
		if (vm !== undefined) {
			send(vm.child, {kind: 'set-service-time', milliseconds});
		}
	}

	/** Returns the runs that have ended since the previous call. */
	async takeEndedRuns(): Promise<RunFigures> {
		const reports = await Promise.all([...this.#vms.values()].map(async vm => requestReport(vm.child)));
		let runs = 0;
		let cancelled = 0;
		for (const report of reports) {
			runs += report.runs;
			cancelled += report.cancelled;
		}

		return {runs, cancelled};
	}

	async #startVm(settings: VmSettings): Promise<void> {
		const child = fork(vmProcessFile, {serialization: 'advanced', stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
		child.on('message', (notice: VmNotice) => {
			if (notice.kind === 'target') {
				this.#updateTarget(settings.name, notice.target);
			}
		});
		const ready = waitForNotice(child, 'ready');
		send(child, {kind: 'start', settings, targets: [...this.#targets.values()]});
		const {callersUrl} = await ready;
		this.#vms.set(settings.name, {settings, child, callersUrl});
		this.#broadcastTargets();
	}

	async #stopVm(name: string): Promise<void> {
		const vm = this.#vms.get(name)!;
		const ended = once(vm.child, 'exit');
		send(vm.child, {kind: 'stop'});
		await ended;
		this.#vms.delete(name);
		this.#updateTarget(name, undefined);
	}

	#updateTarget(name: string, target: VmTarget | undefined): void {
		if (target === undefined) {
			this.#targets.delete(name);
		} else {
			this.#targets.set(name, target);
		}

		this.#broadcastTargets();
	}

	#broadcastTargets(): void {
		const targets = [...this.#targets.values()];
		for (const vm of this.#vms.values()) {
			send(vm.child, {kind: 'targets', targets});
		}
	}
}

function send(child: ChildProcess, command: VmCommand): void {
	if (child.connected) {
		child.send(command, ignoreClosedChannel);
	}
}

function ignoreClosedChannel(): void {
	// The process has exited; `waitForNotice` rejects on its exit event.
}

async function waitForNotice<Kind extends VmNotice['kind']>(child: ChildProcess, kind: Kind): Promise<Extract<VmNotice, {kind: Kind}>> {
	return new Promise((resolve, reject) => {
		const listen = (notice: VmNotice): void => {
			if (notice.kind === kind) {
				child.off('message', listen);
				child.off('exit', fail);
				resolve(notice as Extract<VmNotice, {kind: Kind}>);
			}
		};

		const fail = (code: number | undefined): void => {
			reject(new BenchVmError(`the process of a bench VM exited with code ${code ?? 'none'}`));
		};

		child.on('message', listen);
		child.once('exit', fail);
	});
}

async function requestReport(child: ChildProcess): Promise<RunFigures> {
	const report = waitForNotice(child, 'report');
	send(child, {kind: 'report'});
	return report;
}

function createVmSettings(options: VmFleetOptions): VmSettings[] {
	const {frontend, backend} = options.shape;
	return [...settingsOf(options, backend, [], 0), ...settingsOf(options, frontend, [
		[frontendPaths.normal, backendPaths.normal],
		[frontendPaths.important, backendPaths.important],
	], backend.targets)];
}

function settingsOf(options: VmFleetOptions, service: ServiceShape, calls: ReadonlyArray<[string, string]>, firstSeedOffset: number): VmSettings[] {
	const {shape, control, seed} = options;
	const configuration = serializeConfiguration(createConfiguration(options));
	return Array.from({length: service.targets}, (_, index) => ({
		control,
		name: `${service.name}-${index}`,
		domain: shape.domains[index % shape.domains.length]!,
		service: service.name,
		slots: service.slots,
		serviceMilliseconds: service.serviceMilliseconds,
		calls,
		seed: seed + firstSeedOffset + index,
		configuration,
	}));
}

function createConfiguration(options: VmFleetOptions): Configuration {
	const {shape, timeoutMilliseconds} = options;
	const capacity = capacityOf(shape);
	const routes = [
		createRoute(frontendPaths.normal, shape.frontend.name, normalPriority, timeoutMilliseconds),
		createRoute(frontendPaths.important, shape.frontend.name, importantPriority, timeoutMilliseconds),
		createRoute(backendPaths.normal, shape.backend.name, normalPriority, timeoutMilliseconds),
		createRoute(backendPaths.important, shape.backend.name, importantPriority, timeoutMilliseconds),
	];
	return {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map(shape.teams.map(team => [createTeamName(team.name), {
			name: createTeamName(team.name), ratePerSecond: team.part * capacity, burst: capacity,
		}])),
		keys: new Map(shape.teams.map(team => [`key-${team.name}` as KeyId, createKey(team.name)])),
		routes: new Map(routes.map(route => [route.id, route])),
	};
}

function createKey(team: string): Key {
	return {
		id: `key-${team}` as KeyId,
		team: createTeamName(team),
		digest: createHash('sha256').update(secretOf(team)).digest('hex') as KeyDigest,
		withdrawn: false,
	};
}

function createRoute(path: string, service: string, priority: number, timeoutMilliseconds: number): Route {
	return {
		id: createRouteId('GET', path),
		method: 'GET',
		path,
		service: createServiceName(service),
		priority,
		idempotent: true,
		open: false,
		retryLimit,
		timeoutMilliseconds,
		whenCutOff: 'serve',
	};
}
