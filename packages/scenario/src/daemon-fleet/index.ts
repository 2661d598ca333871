/**
A fleet of daemon processes on loopback for tests and benches: control processes,
nodes, and a stand-in upstream for each node. The stand-ins run in the calling
process; the daemons start no processes.
*/

import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {mkdir, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {StatementResponse, StatementErrorResponse} from '@fireflyglade/language';
import type {CallerLimits} from '@fireflyglade/settings';
import {DaemonProcess} from '../daemon-process/index.js';
import {drawLoopbackHost} from '../_lib/draw-loopback-host/index.js';
import {StandInUpstream, type StandInUpstreamOptions} from '../stand-in-upstream/index.js';

/** Specification of a node and its stand-in upstream. */
export type FleetNodePlan = {
	readonly node: string;
	readonly domain: string;
	readonly service: string;
	readonly upstream?: Pick<StandInUpstreamOptions, 'slots' | 'serviceMilliseconds' | 'calls'>;
	/** Limits of the listener for callers; the defaults of the settings if absent. */
	readonly limits?: Partial<CallerLimits>;
	/** Options of the Node.js runtime of the node's process. */
	readonly runtimeOptions?: readonly string[];
	/** Limit of open descriptors of the node's process; that of the calling process if absent. */
	readonly maximumDescriptors?: number;
};

/** Options of a fleet of daemons. */
export type DaemonFleetOptions = {
	/** Folder for settings, tokens and data; created if it is missing. */
	readonly folder: string;
	/** Number of control processes. */
	readonly control: number;
	readonly nodes: readonly FleetNodePlan[];
};

/** A node daemon and its stand-in upstream. */
export type NodeDaemon = {
	readonly plan: FleetNodePlan;
	readonly daemon: DaemonProcess;
	/** Base URL for callers. */
	readonly callersUrl: string;
	/** Base URL for announcements. */
	readonly announceUrl: string;
	/** Base URL of the gate for other nodes. */
	readonly gateUrl: string;
	/** URL with host and port of the listener for remote calls. */
	readonly rpcUrl: string;
	readonly upstream: StandInUpstream;
};

/** A control daemon. */
export type ControlDaemon = {
	readonly name: string;
	readonly daemon: DaemonProcess;
	/** Base URL for operators. */
	readonly operatorUrl: string;
	/** URL with host and port of the listener for remote calls. */
	readonly rpcUrl: string;
};

/** The answer to a statement. */
export type StatementOutcome =
	| {readonly kind: 'answered'; readonly answer: StatementResponse}
	| {readonly kind: 'refused'; readonly status: number; readonly error: StatementErrorResponse['error']};

const operatorToken = 'operator-token-of-the-daemon-fleet';
const fleetToken = 'fleet-token-of-the-daemon-fleet';
const portsPerNode = 6;
const portsPerControlProcess = 2;
const statementTimeoutMilliseconds = 5000;
const retryPauseMilliseconds = 20;

/** Returns the path of the compiled main module of a daemon. */
function getProgramPath(name: 'node' | 'control'): string {
	return fileURLToPath(new URL(`../../../${name}/dist/main.js`, import.meta.url));
}

/** Returns ports that are free on a host. */
async function findFreePorts(count: number, host: string): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports: number[] = [];
	for (const server of servers) {
		server.listen(0, host);
		await once(server, 'listening');
		ports.push((server.address() as AddressInfo).port);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
}

/** A fleet of daemon processes on loopback. */
export class DaemonFleet {
	/**
	Writes the settings and starts every daemon; resolves once all are ready.

	@throws {DaemonError} A daemon ended or did not become ready in time.
	*/
	static async start(options: DaemonFleetOptions): Promise<DaemonFleet> {
		const fleet = new DaemonFleet(options);
		await fleet.#writeTokens();
		await fleet.#startControl();
		await fleet.#startNodes();
		return fleet;
	}

	readonly control: ControlDaemon[] = [];
	readonly nodes: NodeDaemon[] = [];
	readonly #options: DaemonFleetOptions;
	/** Address of all listeners, which no other process uses, so that a port that was free stays free until its daemon binds it. */
	readonly #host = drawLoopbackHost();
	#controlRpcAddresses: readonly string[] = [];

	private constructor(options: DaemonFleetOptions) {
		this.#options = options;
	}

	/** Sends a statement to one control process, without a retry. */
	async sendOnce(control: ControlDaemon, statement: string, commandId: string): Promise<StatementOutcome> {
		const answer = await request(`${control.operatorUrl}/v1/statements`, {
			method: 'POST',
			headers: {authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json'},
			body: JSON.stringify({statement, commandId}),
			headersTimeout: statementTimeoutMilliseconds,
			bodyTimeout: statementTimeoutMilliseconds,
		});
		const body = await answer.body.json();
		return answer.statusCode === 200
			? {kind: 'answered', answer: body as StatementResponse}
			: {kind: 'refused', status: answer.statusCode, error: (body as StatementErrorResponse).error};
	}

	/** Sends a statement to the control processes in turn, with the same command id, until one answers with other than status 503, as the command-line client does. */
	async send(statement: string, commandId: string = randomUUID()): Promise<StatementOutcome> {
		for (;;) {
			for (const control of this.control) {
				const outcome = await this.#trySend(control, statement, commandId);
				if (outcome !== undefined) {
					return outcome;
				}
			}

			await wait(retryPauseMilliseconds);
		}
	}

	/**
	Sends a statement that must result in a change.

	@throws {TypeError} The statement was refused or changed nothing.
	*/
	async change(statement: string, commandId?: string): Promise<Extract<StatementResponse, {kind: 'changed'}>> {
		const outcome = await this.send(statement, commandId);
		if (outcome.kind === 'answered' && outcome.answer.kind === 'changed') {
			return outcome.answer;
		}

		throw new TypeError(`${statement}: ${JSON.stringify(outcome)}`);
	}

	/** Creates a team, issues a key for it and returns the secret of the key. */
	async createTeam(name: string, ratePerSecond: number, burst: number): Promise<string> {
		await this.change(`create team ${name} rate ${ratePerSecond}/s burst ${burst}`);
		const {secret} = await this.change(`issue key for team ${name}`);
		return secret!;
	}

	/** Configures every failure domain with its number of nodes as weight. Its first three nodes are witnesses, or only the first one if it has fewer than three. */
	async configureDomains(): Promise<void> {
		const domains = new Map<string, string[]>();
		for (const {plan} of this.nodes) {
			domains.set(plan.domain, [...domains.get(plan.domain) ?? [], plan.node]);
		}

		for (const [domain, nodes] of domains) {
			const witnesses = nodes.slice(0, nodes.length >= 3 ? 3 : 1);
			await this.change(`set domain ${domain} weight ${nodes.length} witnesses ${witnesses.join(', ')}`);
		}
	}

	/** Returns the control process that is the current leader, polling until there is one. */
	async findLeader(): Promise<ControlDaemon> {
		for (;;) {
			const outcome = await this.send('show members where leads = true');
			const rows = outcome.kind === 'answered' && outcome.answer.kind === 'rows' ? outcome.answer.rows : [];
			const leader = this.control.find(control => control.name === rows[0]?.member);
			if (leader !== undefined) {
				return leader;
			}

			await wait(retryPauseMilliseconds);
		}
	}

	/** Kills every daemon, also frozen ones, and stops the stand-in upstreams. */
	async stop(): Promise<void> {
		for (const {daemon} of [...this.control, ...this.nodes]) {
			daemon.signal('SIGCONT');
		}

		await Promise.all([...this.nodes, ...this.control].map(async ({daemon}) => daemon.end('SIGKILL')));
		await Promise.all(this.nodes.map(async ({upstream}) => upstream.stop()));
	}

	get #fleetTokenFile(): string {
		return path.join(this.#options.folder, 'fleet-token');
	}

	get #operatorTokenFile(): string {
		return path.join(this.#options.folder, 'operator-token');
	}

	/** Sends a statement once; returns undefined if it fails or is answered with status 503. */
	async #trySend(control: ControlDaemon, statement: string, commandId: string): Promise<StatementOutcome | undefined> {
		try {
			const outcome = await this.sendOnce(control, statement, commandId);
			return outcome.kind === 'refused' && outcome.status === 503 ? undefined : outcome;
		} catch {
			return undefined;
		}
	}

	async #writeTokens(): Promise<void> {
		await mkdir(this.#options.folder, {recursive: true});
		await writeFile(this.#fleetTokenFile, fleetToken, {mode: 0o600});
		await writeFile(this.#operatorTokenFile, operatorToken, {mode: 0o600});
	}

	async #startControl(): Promise<void> {
		const ports = await findFreePorts(this.#options.control * portsPerControlProcess, this.#host);
		const names = Array.from({length: this.#options.control}, (_, index) => `control-${index + 1}`);
		const members = names.map((member, index) => ({member, rpcAddress: `${this.#host}:${ports[index * portsPerControlProcess]}`}));
		this.#controlRpcAddresses = members.map(({rpcAddress}) => rpcAddress);
		for (const [index, name] of names.entries()) {
			const operatorAddress = `${this.#host}:${ports[(index * portsPerControlProcess) + 1]}`;
			const settingsFile = await this.#writeSettings(name, {
				member: name,
				domain: 'control',
				dataFolder: path.join(this.#options.folder, name),
				operatorAddress,
				rpcAddress: members[index]!.rpcAddress,
				members,
				operators: [{name: 'test', role: 'operator', tokenFile: this.#operatorTokenFile}],
			});
			const operatorUrl = `http://${operatorAddress}`;
			const daemon = new DaemonProcess({
				name, program: getProgramPath('control'), settingsFile, readyUrl: `${operatorUrl}/readyz`,
			});
			daemon.start();
			this.control.push({
				name, daemon, operatorUrl, rpcUrl: `http://${members[index]!.rpcAddress}`,
			});
		}

		await Promise.all(this.control.map(async ({daemon}) => daemon.waitUntilReady()));
	}

	async #startNodes(): Promise<void> {
		const ports = await findFreePorts(this.#options.nodes.length * portsPerNode, this.#host);
		const seeds = this.#options.nodes.map((_, index) => `${this.#host}:${ports[index * portsPerNode]}`);
		for (const [index, plan] of this.#options.nodes.entries()) {
			await this.#startNode(plan, ports.slice(index * portsPerNode, (index + 1) * portsPerNode), seeds);
		}

		await Promise.all(this.nodes.map(async ({daemon}) => daemon.waitUntilReady()));
	}

	async #startNode(plan: FleetNodePlan, ports: readonly number[], seeds: readonly string[]): Promise<void> {
		const [rpcAddress, callersAddress, gateAddress, announceAddress, egressAddress, statusAddress] = ports.map(port => `${this.#host}:${port}`);
		const settingsFile = await this.#writeSettings(plan.node, {
			node: plan.node,
			domain: plan.domain,
			callersAddress,
			gateAddress,
			rpcAddress,
			announceAddress,
			egressAddress,
			statusAddress,
			control: this.#controlRpcAddresses,
			seeds: seeds.filter(seed => seed !== rpcAddress),
			...(plan.limits === undefined ? {} : {limits: plan.limits}),
		});
		const daemon = new DaemonProcess({
			name: plan.node,
			program: getProgramPath('node'),
			settingsFile,
			readyUrl: `http://${statusAddress}/readyz`,
			...(plan.runtimeOptions === undefined ? {} : {runtimeOptions: plan.runtimeOptions}),
			...(plan.maximumDescriptors === undefined ? {} : {maximumDescriptors: plan.maximumDescriptors}),
		});
		daemon.start();
		const upstream = new StandInUpstream({
			...plan.upstream, service: plan.service, announceUrl: `http://${announceAddress}`, egressUrl: `http://${egressAddress}`,
		});
		await upstream.start();
		this.nodes.push({
			plan,
			daemon,
			callersUrl: `http://${callersAddress}`,
			announceUrl: `http://${announceAddress}`,
			gateUrl: `http://${gateAddress}`,
			rpcUrl: `http://${rpcAddress}`,
			upstream,
		});
	}

	async #writeSettings(name: string, settings: Readonly<Record<string, unknown>>): Promise<string> {
		const file = path.join(this.#options.folder, `${name}.jsonc`);
		await writeFile(file, JSON.stringify({
			...settings,
			security: {kind: 'token', tokenFile: this.#fleetTokenFile},
			log: {level: 'error', format: 'json'},
			shutdownTimeoutMilliseconds: 10_000,
		}, undefined, '\t'));
		return file;
	}
}
