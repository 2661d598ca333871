/**
A node as a library: its listeners, its gate and the calls between them, wired to
the fleet that it is given.
*/

import {
	announcementIntervalMilliseconds, bytesInKibibyte,
	type Configuration, type GateLevel, type Target, type TeamName, type Timer,
} from '@fireflyglade/model';
import {EntryThrottle, RootLoadShedder} from '@fireflyglade/routing';
import {
	HttpListener,
	type FrameListener, type OutcomeResponse, type OutcomeRequest,
} from '@fireflyglade/transport';
import {AnnounceListener} from '../announce-listener/index.js';
import type {NodeDependencies} from '../dependencies.js';
import {createChannelListener} from '../channel-listener/index.js';
import {GateListenerHandler} from '../gate-listener/index.js';
import {Gate} from '../gate/index.js';
import {createStatusListener} from '../status-listener/index.js';
import type {CallAttemptsOptions} from '../_lib/call-attempts/index.js';
import {CallServer} from '../_lib/call-server/index.js';
import {CallerPolicy} from '../_lib/caller-policy/index.js';
import {EgressPolicy} from '../_lib/egress-policy/index.js';
import {ChannelGates} from '../_lib/channel-gates/index.js';
import {RemoteGates} from '../_lib/remote-gate/index.js';
import {TeamCounters} from '../_lib/team-counters/index.js';
import {AnnouncementFilter, type AnnouncementOutcome, type UpstreamAnnouncement} from '../_lib/announcement-filter/index.js';

/** Bound addresses of a node's listeners, `host:port` each. */
export type NodeAddresses = {
	readonly callers: string;
	readonly gate: string;
	readonly egress: string;
	readonly announce: string;
	readonly status: string;
};

/** A node that has been started. */
export type RunningNode = {
	readonly addresses: NodeAddresses;
	/** Base URL of the gate listener. */
	readonly gateUrl: string;
	/** Load of the gate; undefined without an upstream. */
	level(): GateLevel | undefined;
	/** Answers another node's question about a request; to be served over RPC. */
	answerOutcome(question: OutcomeRequest): OutcomeResponse;
	/** Takes over what an upstream says of itself by another way than the announce listener. */
	hear(statement: UpstreamAnnouncement): AnnouncementOutcome;
	/** An upstream takes no new work from now on. */
	forget(instance: string): void;
	/** True if callers may come: a confirmed configuration is in force and the node does not stop. */
	isReady(): boolean;
	/** Requests that wait or run at the gate or are under way from here. */
	inFlight(): number;
	/** Shuts down gracefully; a second call awaits the same end. */
	stop(): Promise<void>;
};

const innerLimits = {maximumHeaderBytes: 128 * bytesInKibibyte, maximumConnections: 20_000};
const statusLimits = {maximumHeaderBytes: 16 * bytesInKibibyte, maximumConnections: 100, requestTimeoutMilliseconds: 5000};
const stopPollMilliseconds = 10;
/** Milliseconds for which callers' connections without a request stay open at the end. */
const idleConnectionMilliseconds = 1000;
/** Milliseconds for peers to hear that the node leaves before its gate refuses work. */
const leaveNoticeMilliseconds = 1000;

/** Starts a node. */
export async function createNode(dependencies: NodeDependencies): Promise<RunningNode> {
	const node = new Node(dependencies);
	await node.start();
	return node;
}

class Node implements RunningNode {
	readonly #dependencies: NodeDependencies;
	readonly #gate: Gate;
	readonly #remoteGates: RemoteGates;
	readonly #channelGates: ChannelGates | undefined;
	readonly #channelListener: FrameListener | undefined;
	#channelAddress: string | undefined;
	readonly #statements = new AnnouncementFilter();
	readonly #counters = new TeamCounters();
	readonly #callers: CallServer;
	readonly #egress: CallServer;
	readonly #announcements: AnnounceListener;
	readonly #listeners: Readonly<Record<keyof NodeAddresses, HttpListener>>;
	#addresses: NodeAddresses | undefined;
	#configuration: Configuration | undefined;
	#removeChangeListener: (() => void) | undefined;
	#stopping: Promise<void> | undefined;
	/** True once the gate refuses work, at the end of the time for peers to hear that the node stops. */
	#isDraining = false;
	#refreshTimer: Timer | undefined;

	constructor(dependencies: NodeDependencies) {
		const {clock, credentials, settings, observer} = dependencies;
		this.#dependencies = dependencies;
		this.#gate = new Gate({
			...dependencies,
			node: settings.node,
			onUnreachable: () => {
				this.#announcements.leave();
			},
		});
		this.#remoteGates = new RemoteGates(dependencies);
		const {channelAddress} = dependencies;
		if (channelAddress !== undefined && credentials.kind === 'token') {
			const {token} = credentials;
			this.#channelGates = new ChannelGates({...dependencies, token, fallback: target => this.#remoteGates.to(target)});
			this.#channelListener = createChannelListener({gate: this.#gate, token, clock});
		}

		const attempts: CallAttemptsOptions = {
			...dependencies,
			node: settings.node,
			ownGate: this.#gate,
			throttle: new EntryThrottle(),
			...(dependencies.sharesRoots === true && {
				rootShare: new RootLoadShedder(),
				onDownstreamCrowding: crowding => {
					this.#gate.hearCrowding(crowding);
				},
			}),
			remoteGate: target => (this.#channelGates ?? this.#remoteGates).to(target),
		};
		const shared = {dependencies, attempts, counters: this.#counters};
		this.#callers = new CallServer({...shared, policy: new CallerPolicy(dependencies.fleet, dependencies.callInterface, this.#gate.calls)});
		this.#egress = new CallServer({...shared, policy: new EgressPolicy(this.#gate.calls)});
		this.#announcements = new AnnounceListener(clock, {
			announced: upstream => {
				this.#gate.setUpstream(upstream);
				this.#announceTarget();
			},
			left: () => {
				this.#gate.removeUpstream();
				this.#announceTarget();
			},
		}, dependencies.announcementTimeoutMilliseconds);
		const gateHandler = new GateListenerHandler({gate: this.#gate, credentials, clock});
		this.#listeners = {
			callers: new HttpListener((request, response) => {
				this.#callers.handle(request, response);
			}, settings.limits),
			gate: new HttpListener((request, response) => {
				gateHandler.handle(request, response);
			}, {...innerLimits, ...(credentials.kind === 'mutual-tls' ? {mutualTls: credentials} : {})}),
			egress: new HttpListener((request, response) => {
				this.#egress.handle(request, response);
			}, innerLimits),
			announce: new HttpListener(this.#announcements.listener, statusLimits),
			status: new HttpListener(createStatusListener({
				isReady: () => this.isReady(),
				renderMetrics: async () => observer.renderMetrics(),
			}), statusLimits),
		};
	}

	get addresses(): NodeAddresses {
		return this.#addresses!;
	}

	get gateUrl(): string {
		const scheme = this.#dependencies.credentials.kind === 'mutual-tls' ? 'https' : 'http';
		return `${scheme}://${this.addresses.gate}`;
	}

	async start(): Promise<void> {
		const {settings, fleet, channelAddress, onChannelListening} = this.#dependencies;
		this.#channelAddress = channelAddress === undefined ? undefined : await this.#channelListener?.listen(channelAddress);
		if (this.#channelAddress !== undefined) {
			onChannelListening?.(this.#channelAddress);
		}

		this.#addresses = {
			gate: await this.#listeners.gate.listen(settings.gateAddress),
			egress: await this.#listeners.egress.listen(settings.egressAddress),
			announce: await this.#listeners.announce.listen(settings.announceAddress),
			status: await this.#listeners.status.listen(settings.statusAddress),
			callers: await this.#listeners.callers.listen(settings.callersAddress),
		};
		fleet.setLevelSource(() => this.#gate.level());
		fleet.setFiguresSource(() => this.#counters.snapshot());
		this.#removeChangeListener = fleet.onChange(() => {
			this.#takeChanges();
		});
		this.#takeChanges();
	}

	level(): GateLevel | undefined {
		return this.#gate.level();
	}

	answerOutcome(question: OutcomeRequest): OutcomeResponse {
		return this.#gate.answer(question);
	}

	hear(statement: UpstreamAnnouncement): AnnouncementOutcome {
		const {ownUpstreamAddress} = this.#dependencies;
		if (ownUpstreamAddress !== undefined && ownUpstreamAddress !== statement.address) {
			return 'of-another-upstream';
		}

		const verdict = this.#statements.accept(statement);
		if (verdict !== 'taken') {
			return verdict;
		}

		if (statement.isLeaving) {
			this.#announcements.leave();
		} else {
			this.#announcements.take(statement);
		}

		return verdict;
	}

	forget(instance: string): void {
		if (this.#statements.leave(instance)) {
			this.#announcements.leave();
		}
	}

	isReady(): boolean {
		return this.#stopping === undefined && this.#dependencies.fleet.hasConfiguration();
	}

	inFlight(): number {
		return this.#listeners.callers.running + this.#listeners.egress.running + Math.max(this.#listeners.gate.running, this.#gate.size);
	}

	async stop(): Promise<void> {
		this.#stopping ??= this.#shutDown();
		return this.#stopping;
	}

	#takeChanges(): void {
		const {fleet, routing, clock} = this.#dependencies;
		const configuration = fleet.configuration();
		const targets = fleet.targets();
		routing.setTargets(targets, clock.now());
		this.#remoteGates.retain(targets);
		this.#channelGates?.retain(targets);
		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#takeConfiguration(configuration);
		}
	}

	#takeConfiguration(configuration: Configuration): void {
		this.#dependencies.routing.setDrained(configuration.drainedUpstreams);
		this.#callers.setConfiguration(configuration);
		this.#egress.setConfiguration(configuration);
		const weights = new Map<TeamName, number>();
		for (const team of configuration.teams.values()) {
			weights.set(team.name, team.ratePerSecond);
		}

		this.#gate.setTeamWeights(weights);
	}

	#announceTarget(): void {
		const {fleet, settings, rpcAddress} = this.#dependencies;
		const {upstream} = this.#gate;
		if (upstream === undefined) {
			fleet.announceTarget(undefined);
			return;
		}

		const target: Target = {
			upstream: upstream.id,
			service: upstream.announced.service,
			node: settings.node,
			domain: settings.domain,
			gateUrl: this.gateUrl,
			...(this.#channelAddress === undefined ? {} : {channelAddress: this.#channelAddress}),
			rpcAddress,
			available: !this.#isDraining,
			...(this.#stopping !== undefined && {stopping: true}),
			slots: upstream.announced.slots,
		};
		fleet.announceTarget(target);
	}

	/** Peers are told first; then new work is refused; what runs may finish; then the listeners close. */
	async #shutDown(): Promise<void> {
		const {settings, clock} = this.#dependencies;
		const deadline = clock.now() + settings.shutdownTimeoutMilliseconds;
		await Promise.resolve();
		this.#announceTarget();
		for (const listener of Object.values(this.#listeners)) {
			listener.disableKeepAlive();
		}

		await this.#pause(Math.min(settings.leaveNoticeMilliseconds ?? leaveNoticeMilliseconds, settings.shutdownTimeoutMilliseconds / 2));
		this.#isDraining = true;
		this.#announceTarget();
		this.#callers.drain();
		this.#gate.drain();
		while (this.inFlight() > 0 && clock.now() < deadline) {
			await this.#pause(stopPollMilliseconds);
		}

		await this.#close();
	}

	async #close(): Promise<void> {
		this.#removeChangeListener?.();
		this.#announcements.close();
		this.#refreshTimer?.cancel();
		const {shutdownTimeoutMilliseconds} = this.#dependencies.settings;
		const idleMilliseconds = Math.min(idleConnectionMilliseconds, shutdownTimeoutMilliseconds / 4);
		const {callers, ...others} = this.#listeners;
		await callers.close(announcementIntervalMilliseconds, idleMilliseconds);
		await Promise.all(Object.values(others).map(async listener => listener.close(announcementIntervalMilliseconds)));
		this.#channelGates?.close();
		this.#channelListener?.close();
		await Promise.all([this.#gate.close(), this.#remoteGates.close()]);
	}

	async #pause(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#refreshTimer = this.#dependencies.clock.startTimer(milliseconds, resolve);
		});
	}
}
