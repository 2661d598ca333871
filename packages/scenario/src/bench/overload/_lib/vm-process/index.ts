/**
The process of one VM: a simulated upstream, and beside it either a node or the
baseline without overload control. The bench process forks it with an IPC
channel; when that channel closes, the process ends.
*/

import process from 'node:process';
import {GateAdmission} from '@fireflyglade/admission';
import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, millisecondsInSecond, SeededRandom, SystemClock,
	type Target,
} from '@fireflyglade/model';
import {createNode, type RunningNode} from '@fireflyglade/node';
import {ServiceRetryBudgets, TargetRouting} from '@fireflyglade/routing';
import {StandInUpstream} from '../../../../stand-in-upstream/index.js';
import {deserializeConfiguration, RelayedFleet} from '../relayed-fleet/index.js';
import {UncontrolledNode} from '../uncontrolled-node/index.js';
import type {
	VmCommand, VmNotice, VmSettings, VmTarget,
} from '../vm-messages/index.js';

const ephemeralAddress = '127.0.0.1:0';
const mebibyte = 1_048_576;
const shutdownSeconds = 5;

function sendNotice(notice: VmNotice): void {
	process.send?.(notice);
}

/** A running VM. */
type Vm = {
	readonly upstream: StandInUpstream;
	setTargets(targets: readonly VmTarget[]): void;
	stop(): Promise<void>;
};

async function startControlledVm(settings: VmSettings, targets: readonly VmTarget[]): Promise<Vm> {
	const fleet = new RelayedFleet(deserializeConfiguration(settings.configuration), target => {
		sendNotice({kind: 'target', target: target === undefined ? undefined : {target, upstreamUrl: ''}});
	});
	const node = await createVmNode(settings, fleet);
	fleet.setTargets(targets.map(({target}) => target));
	const upstream = new StandInUpstream({
		...upstreamOptions(settings),
		announceUrl: `http://${node.addresses.announce}`,
		egressUrl: `http://${node.addresses.egress}`,
	});
	await upstream.start();
	sendNotice({kind: 'ready', callersUrl: `http://${node.addresses.callers}`});
	return {
		upstream,
		setTargets(changed) {
			fleet.setTargets(changed.map(({target}) => target));
		},
		async stop() {
			await node.stop();
			await upstream.stop();
		},
	};
}

async function createVmNode(settings: VmSettings, fleet: RelayedFleet): Promise<RunningNode> {
	const node = createNodeId(settings.name);
	const domain = createFailureDomain(settings.domain);
	return createNode({
		settings: {
			node,
			domain,
			callersAddress: ephemeralAddress,
			gateAddress: ephemeralAddress,
			rpcAddress: ephemeralAddress,
			announceAddress: ephemeralAddress,
			egressAddress: ephemeralAddress,
			statusAddress: ephemeralAddress,
			control: [],
			seeds: [],
			security: {kind: 'token', tokenFile: ''},
			limits: {
				maximumHeaderBytes: 16_384, maximumBodyBytes: mebibyte, maximumPathBytes: 2048, maximumConnections: 10_000,
			},
			shutdownTimeoutMilliseconds: shutdownSeconds * millisecondsInSecond,
			log: {level: 'error', format: 'json'},
		},
		credentials: {kind: 'token', token: 'token-of-the-bench'},
		rpcAddress: settings.name,
		fleet,
		createAdmission: options => new GateAdmission(options),
		routing: new TargetRouting({domain, node}),
		retryBudgets: new ServiceRetryBudgets(),
		claims: {
			async begin() {
				return {kind: 'granted'};
			},
			async finish() {
				// This bench claims no jobs.
			},
		},
		outcomes: {
			async ask() {
				return {progress: 'unknown'};
			},
		},
		observer: {
			requestFinished() {
				// The load generator does the counting.
			},
			hopFinished() {
				// The load generator does the counting.
			},
			async renderMetrics() {
				return '';
			},
		},
		clock: new SystemClock(),
		random: new SeededRandom(settings.seed),
	});
}

async function startUncontrolledVm(settings: VmSettings, targets: readonly VmTarget[]): Promise<Vm> {
	const node = new UncontrolledNode(deserializeConfiguration(settings.configuration), settings.seed);
	await node.start();
	node.setTargets(targets);
	const upstream = new StandInUpstream({...upstreamOptions(settings), egressUrl: node.url});
	await upstream.start();
	sendNotice({kind: 'target', target: {target: describeTarget(settings), upstreamUrl: upstream.url}});
	sendNotice({kind: 'ready', callersUrl: node.url});
	return {
		upstream,
		setTargets(changed) {
			node.setTargets(changed);
		},
		async stop() {
			sendNotice({kind: 'target', target: undefined});
			await upstream.stop();
			await node.stop();
		},
	};
}

function upstreamOptions(settings: VmSettings): ConstructorParameters<typeof StandInUpstream>[0] {
	return {
		service: settings.service, slots: settings.slots, serviceMilliseconds: settings.serviceMilliseconds, calls: new Map(settings.calls),
	};
}

function describeTarget(settings: VmSettings): Target {
	const node = createNodeId(settings.name);
	const service = createServiceName(settings.service);
	return {
		upstream: createUpstreamId(service, node),
		service,
		node,
		domain: createFailureDomain(settings.domain),
		gateUrl: '',
		rpcAddress: '',
		available: true,
		slots: settings.slots,
	};
}

let vm: Vm | undefined;

async function handleCommand(command: VmCommand): Promise<void> {
	switch (command.kind) {
		case 'start': {
			const {settings, targets} = command;
			vm = settings.control === 'controlled' ? await startControlledVm(settings, targets) : await startUncontrolledVm(settings, targets);
			break;
		}

		case 'targets': {
			vm?.setTargets(command.targets);
			break;
		}

		case 'set-service-time': {
			if (vm !== undefined) {
				vm.upstream.serviceMilliseconds = command.milliseconds;
			}

			break;
		}

		case 'report': {
			report();
			break;
		}

		case 'stop': {
			await vm?.stop();
			sendNotice({kind: 'stopped'});
			process.disconnect();
			break;
		}
	}
}

/** Reports the runs that have ended since the previous report, and forgets them. */
function report(): void {
	const runs = vm?.upstream.runs ?? [];
	const ended = runs.filter(run => run.answered || run.cancelled);
	sendNotice({kind: 'report', runs: ended.length, cancelled: ended.filter(run => run.cancelled).length});
	runs.splice(0, runs.length, ...runs.filter(run => !run.answered && !run.cancelled));
}

process.on('message', (command: VmCommand) => {
	void handleCommand(command);
});
process.once('disconnect', () => {
	process.kill(process.pid);
});
