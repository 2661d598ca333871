/**
Starts the demo in the current process, on loopback: one control process, three nodes
in two failure domains with a stand-in upstream each, two services of which one calls
the other, and two teams with one key each.
*/

import {randomBytes} from 'node:crypto';
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {ControlProcess, type StorageFailedError} from '@fireflyglade/control';
import {
	createFailureDomain, createMemberId, createNodeId, type NodeId,
} from '@fireflyglade/model';
import {startFleetNode, type FleetNode} from '@fireflyglade/node';
import {StandInUpstream} from '@fireflyglade/scenario';
import type {NodeSettings} from '@fireflyglade/settings';
import {sendStatement, StatementRefusedError, type OperatorAccess} from '../operator-statements/index.js';

/** Options of the demo. */
export type DemoOptions = {
	/** Folder for tokens and the data of the control process; created if it is missing. */
	readonly dataFolder: string;
	/** Port of the first node for callers; the other nodes use the ports after it. 0 selects any free ports. */
	readonly callersPort: number;
	/** Port for operators. 0 selects any free port. */
	readonly operatorPort: number;
	/** Called if the control process cannot write its data. */
	readonly onStorageFailure: (error: StorageFailedError) => void;
};

/** A route of the demo, as written to the ready file. */
export type DemoRoute = {
	readonly method: string;
	readonly path: string;
	readonly service: string;
	readonly open: boolean;
	readonly idempotent: boolean;
};

/** The running demo, its addresses and its credentials. */
export type RunningDemo = {
	/** Base URLs of the nodes for callers. */
	readonly callers: readonly string[];
	/** Base URL for operators. */
	readonly operator: string;
	readonly operatorTokenFile: string;
	/** Key of each team, by team name. */
	readonly keys: Readonly<Record<string, string>>;
	readonly routes: readonly DemoRoute[];
	/** URLs of the stand-in upstreams. */
	readonly upstreams: readonly string[];
	readonly access: OperatorAccess;
	/** Shuts everything down gracefully. */
	readonly stop: () => Promise<void>;
};

/** Specification of a node and the service of its upstream. */
type NodePlan = {readonly node: string; readonly domain: string; readonly service: string};

const loopbackAnyPort = '127.0.0.1:0';
const tokenBytes = 24;
const shutdownTimeoutMilliseconds = 10_000;
const slotsPerUpstream = 32;
const defaultPriority = 5;
const highPriority = 1;
const idempotentRetryLimit = 2;

const nodePlans: readonly NodePlan[] = [
	{node: 'node-1', domain: 'north', service: 'orders-app'},
	{node: 'node-2', domain: 'north', service: 'billing-app'},
	{node: 'node-3', domain: 'south', service: 'orders-app'},
];

const teams = ['upland-council', 'valley-council'];

const routes: readonly DemoRoute[] = [
	{
		method: 'GET', path: '/status', service: 'orders-app', open: true, idempotent: true,
	},
	{
		method: 'GET', path: '/orders/:id', service: 'orders-app', open: false, idempotent: true,
	},
	{
		method: 'POST', path: '/orders', service: 'orders-app', open: false, idempotent: false,
	},
	{
		method: 'GET', path: '/statement', service: 'orders-app', open: false, idempotent: true,
	},
	{
		method: 'GET', path: '/invoices/:id', service: 'billing-app', open: false, idempotent: true,
	},
];

/** Call of the orders service to the billing service, by the path of the request that triggers it. */
const ordersServiceCalls: ReadonlyMap<string, string> = new Map([['/statement', '/invoices/latest']]);

const initialStatements: readonly string[] = [
	'set domain north weight 2 witnesses node-1',
	'set domain south weight 1 witnesses node-3',
	...teams.map(team => `create team ${team} rate 200/s burst 200`),
	...routes.map(route => formatCreateRouteStatement(route)),
];

function formatCreateRouteStatement(route: DemoRoute): string {
	const {method, path: pattern, service, idempotent, open} = route;
	const priority = idempotent ? defaultPriority : highPriority;
	const retries = idempotent ? idempotentRetryLimit : 0;
	return `create route ${method} ${pattern} service ${service} priority ${priority} idempotent ${formatBoolean(idempotent)} open ${formatBoolean(open)} retries ${retries}`;
}

function formatBoolean(value: boolean): string {
	return value ? 'yes' : 'no';
}

/** Reads a secret from a file; creates the file with a random secret if it cannot be read, as at the first start. */
async function readOrCreateSecret(file: string): Promise<string> {
	try {
		const secret = await readFile(file, 'utf8');
		return secret.trim();
	} catch {
		const secret = randomBytes(tokenBytes).toString('base64url');
		await writeFile(file, `${secret}\n`, {mode: 0o600});
		return secret;
	}
}

async function startControl(options: DemoOptions, token: string, fleetToken: string): Promise<ControlProcess> {
	const member = createMemberId('control-1');
	return ControlProcess.start({
		member,
		dataFolder: path.join(options.dataFolder, 'control-1'),
		operatorAddress: `127.0.0.1:${options.operatorPort}`,
		rpcAddress: loopbackAnyPort,
		members: new Map([[member, loopbackAnyPort]]),
		operators: [{name: 'demo', role: 'operator', token}],
		credentials: {kind: 'token', token: fleetToken},
		randomSeed: 1,
		onStorageFailure: options.onStorageFailure,
	});
}

function createNodeSettings(plan: NodePlan, callersPort: number, control: string, seeds: readonly string[]): NodeSettings {
	return {
		node: createNodeId(plan.node),
		domain: createFailureDomain(plan.domain),
		callersAddress: `127.0.0.1:${callersPort}`,
		gateAddress: loopbackAnyPort,
		rpcAddress: loopbackAnyPort,
		announceAddress: loopbackAnyPort,
		egressAddress: loopbackAnyPort,
		statusAddress: loopbackAnyPort,
		control: [control],
		seeds,
		security: {kind: 'token', tokenFile: 'fleet-token'},
		limits: {
			maximumHeaderBytes: 16_384, maximumBodyBytes: 16_777_216, maximumPathBytes: 4096, maximumConnections: 1000,
		},
		shutdownTimeoutMilliseconds,
		log: {level: 'warn', format: 'people'},
	};
}

async function startNodes(options: DemoOptions, control: string, fleetToken: string): Promise<ReadonlyMap<NodeId, FleetNode>> {
	const nodes = new Map<NodeId, FleetNode>();
	const seeds: string[] = [];
	for (const [index, plan] of nodePlans.entries()) {
		const callersPort = options.callersPort === 0 ? 0 : options.callersPort + index;
		const settings = createNodeSettings(plan, callersPort, control, seeds);
		const node = await startFleetNode(settings, {credentials: {kind: 'token', token: fleetToken}});
		nodes.set(settings.node, node);
		seeds.push(node.rpcAddress);
	}

	return nodes;
}

async function startUpstreams(nodes: ReadonlyMap<NodeId, FleetNode>): Promise<readonly StandInUpstream[]> {
	const upstreams: StandInUpstream[] = [];
	for (const plan of nodePlans) {
		const {addresses} = nodes.get(createNodeId(plan.node))!;
		const upstream = new StandInUpstream({
			service: plan.service,
			slots: slotsPerUpstream,
			announceUrl: `http://${addresses.announce}`,
			egressUrl: `http://${addresses.egress}`,
			calls: plan.service === 'orders-app' ? ordersServiceCalls : new Map(),
		});
		await upstream.start();
		upstreams.push(upstream);
	}

	return upstreams;
}

/** Executes the initial statements, ignoring teams and routes that exist from an earlier start on the same data folder, and returns a key for each team. */
async function initializeConfiguration(access: OperatorAccess): Promise<Readonly<Record<string, string>>> {
	for (const [index, statement] of initialStatements.entries()) {
		try {
			await sendStatement(access, statement, `demo-first-statement-${index}`);
		} catch (error: unknown) {
			if (!(error instanceof StatementRefusedError) || error.code !== 'already-exists') {
				throw error;
			}
		}
	}

	const keys: Record<string, string> = {};
	for (const team of teams) {
		const answer = await sendStatement(access, `issue key for team ${team}`, `demo-key-of-${team}`);
		if (answer.kind === 'changed' && answer.secret !== undefined) {
			keys[team] = answer.secret;
		}
	}

	return keys;
}

/**
Starts the demo; resolves once all components are ready.

@throws {StatementRefusedError} An initial statement was refused for another reason than that its object exists.
*/
export async function startDemo(options: DemoOptions): Promise<RunningDemo> {
	await mkdir(options.dataFolder, {recursive: true});
	const operatorTokenFile = path.join(options.dataFolder, 'operator-token');
	const token = await readOrCreateSecret(operatorTokenFile);
	const fleetToken = await readOrCreateSecret(path.join(options.dataFolder, 'fleet-token'));
	const control = await startControl(options, token, fleetToken);
	const nodes = await startNodes(options, control.rpcAddress, fleetToken);
	const upstreams = await startUpstreams(nodes);
	const access: OperatorAccess = {operatorUrl: control.operatorUrl, token};
	const keys = await initializeConfiguration(access);
	return {
		callers: [...nodes.values()].map(node => `http://${node.addresses.callers}`),
		operator: control.operatorUrl,
		operatorTokenFile,
		keys,
		routes,
		upstreams: upstreams.map(upstream => upstream.url),
		access,
		async stop() {
			await Promise.all(upstreams.map(async upstream => upstream.leave()));
			await Promise.all([...nodes.values()].map(async node => node.stop()));
			await Promise.all(upstreams.map(async upstream => upstream.stop()));
			await control.close();
		},
	};
}
