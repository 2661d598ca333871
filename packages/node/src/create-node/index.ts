/**
Creates a node as a library: its listeners, its gate and the call handling between
them, connected to the fleet and the other dependencies that the caller passes.
*/

import type {LimitState} from '@fireflyglade/admission';
import {
	announcementIntervalMilliseconds, bytesInKibibyte,
	type Configuration, type GateLevel, type Target, type TeamName, type Timer,
} from '@fireflyglade/model';
import {EntryThrottle, RootLoadShedder} from '@fireflyglade/routing';
import {
	createProcessResources, HttpListener,
	type FrameListener, type OutcomeResponse, type OutcomeRequest,
} from '@fireflyglade/transport';
import {AnnounceListener} from '../announce-listener/index.js';
import type {NodeDependencies} from '../dependencies.js';
import {createChannelListener} from '../channel-listener/index.js';
import {GateListenerHandler, peerRefusalFields} from '../gate-listener/index.js';
import {Gate} from '../gate/index.js';
import {createStatusListener} from '../status-listener/index.js';
import type {CallAttemptsOptions} from '../_lib/call-attempts/index.js';
import {CallServer} from '../_lib/call-server/index.js';
import {CallerPolicy} from '../_lib/caller-policy/index.js';
import {EgressPolicy} from '../_lib/egress-policy/index.js';
import {ChannelGates} from '../_lib/channel-gates/index.js';
import {RequestExplainer} from '../_lib/request-explainer/index.js';
import {RemoteGates} from '../_lib/remote-gate/index.js';
import {TeamCounters} from '../_lib/team-counters/index.js';
import type {AnnouncementOutcome, UpstreamAnnouncement} from '../_lib/announcement-filter/index.js';
import {UpstreamPresence, type LeaveNotice} from '../_lib/upstream-presence/index.js';

/** Bound addresses of a node's listeners, `host:port` each. */
export type NodeAddresses = {
	readonly callers: string;
	readonly gate: string;
	readonly egress: string;
	readonly announce: string;
	readonly status: string;
};

/** A started node. */
export type RunningNode = {
	readonly addresses: NodeAddresses;
	/** Base URL of the gate listener. */
	readonly gateUrl: string;
	/** Current load of the gate; undefined without an upstream. */
	level(): GateLevel | undefined;
	/** What determines the gate's concurrency limit at present; undefined without an upstream. */
	describeLimit(): LimitState | undefined;
	/** Answers another node's query about the outcome of a request; the caller serves it over RPC. */
	answerOutcome(question: OutcomeRequest): OutcomeResponse;
	/** Handles an announcement of an upstream that arrives by other means than the announce listener. Rejects if a departure could not be recorded, so that it must not be acknowledged. */
	handleAnnouncement(announcement: UpstreamAnnouncement): Promise<AnnouncementOutcome>;
	/** Removes an upstream instance, which takes no new requests from now on. Rejects if the departure could not be recorded, so that it must not be acknowledged. */
	removeUpstream(notice: LeaveNotice): Promise<void>;
	/** True if the node can serve callers: a confirmed configuration is in force and the node is not shutting down. */
	isReady(): boolean;
	/** Number of requests in progress at the listeners for callers, egress and the gate. A request from a caller or the upstream counts once more if the own gate runs it. */
	inFlight(): number;
	/** Shuts down gracefully. Further calls return the same promise. */
	stop(): Promise<void>;
};

const internalListenerLimits = {maximumHeaderBytes: 128 * bytesInKibibyte, maximumConnections: 20_000};
const statusListenerLimits = {maximumHeaderBytes: 16 * bytesInKibibyte, maximumConnections: 100, requestTimeoutMilliseconds: 5000};
const drainPollMilliseconds = 10;
/** Milliseconds for which idle connections of callers stay open at shutdown. */
const idleConnectionTimeoutMilliseconds = 1000;
/** Milliseconds between the leave notice to peers and the moment when the gate refuses new requests, so that peers stop routing to it first. */
const leaveNoticeMilliseconds = 1000;

/** Creates and starts a node. */
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
	readonly #presence: UpstreamPresence;
	readonly #counters = new TeamCounters();
	readonly #callers: CallServer;
	readonly #egress: CallServer;
	readonly #announcements: AnnounceListener;
	readonly #listeners: Readonly<Record<keyof NodeAddresses, HttpListener>>;
	#addresses: NodeAddresses | undefined;
	#configuration: Configuration | undefined;
	#removeChangeListener: (() => void) | undefined;
	#stopping: Promise<void> | undefined;
	/** True once the gate refuses new requests, after the notice period for peers. */
	#isDraining = false;
	#shutdownTimer: Timer | undefined;

	constructor(dependencies: NodeDependencies) {
		const {clock, credentials, settings, observer} = dependencies;
		const resources = dependencies.resources ?? createProcessResources(settings.resources);
		this.#dependencies = dependencies;
		this.#gate = new Gate({
			...dependencies,
			node: settings.node,
			onUpstreamUnreachable: () => {
				this.#announcements.leave();
			},
		});
		this.#remoteGates = new RemoteGates(dependencies);
		const {channelAddress} = dependencies;
		if (channelAddress !== undefined && credentials.kind === 'token') {
			const {token} = credentials;
			this.#channelGates = new ChannelGates({
				...dependencies, token, fallback: target => this.#remoteGates.to(target), onResponsiveChange(target, isResponsive) {
					dependencies.routing.setResponsive(target.upstream, isResponsive, dependencies.clock.now());
				},
			});
			this.#channelListener = createChannelListener({
				...dependencies, resources, gate: this.#gate, token,
			});
		}

		const attempts: CallAttemptsOptions = {
			...dependencies,
			node: settings.node,
			ownGate: this.#gate,
			throttle: new EntryThrottle(),
			...(dependencies.shouldLimitRootRequests === true && {
				rootLoadShedder: new RootLoadShedder(),
				downstreamRefusedShares: this.#gate.refusedShares,
				onDownstreamQueueingDelay: crowding => {
					this.#gate.recordQueueingDelay(crowding);
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
		const {ownUpstreamAddress, ownUpstreamService, departures, onLogEvent} = dependencies;
		this.#presence = new UpstreamPresence({
			clock,
			...(ownUpstreamAddress === undefined ? {} : {address: ownUpstreamAddress}),
			...(ownUpstreamService === undefined ? {} : {service: ownUpstreamService}),
			...(departures === undefined ? {} : {departures}),
			...(onLogEvent === undefined ? {} : {onLogEvent}),
			onPresent: announcement => {
				this.#announcements.accept(announcement);
			},
			onLeft: () => {
				this.#announcements.leave();
			},
		});
		const gateHandler = new GateListenerHandler({
			gate: this.#gate, credentials, clock, ...(onLogEvent === undefined ? {} : {onLogEvent}),
		});
		const explainer = new RequestExplainer({
			...dependencies, ...attempts, limits: settings.limits, isDraining: () => this.#isDraining,
		});
		this.#listeners = {
			callers: new HttpListener((request, response) => {
				this.#callers.handle(request, response);
			}, {...settings.limits, resources}),
			gate: new HttpListener((request, response) => {
				gateHandler.handle(request, response);
			}, {
				...internalListenerLimits, resources, refusalFields: peerRefusalFields, ...(credentials.kind === 'mutual-tls' ? {mutualTls: credentials} : {}),
			}),
			egress: new HttpListener((request, response) => {
				this.#egress.handle(request, response);
			}, {...internalListenerLimits, resources}),
			announce: new HttpListener(this.#announcements.listener, {...statusListenerLimits, resources}),
			status: new HttpListener(createStatusListener({
				isReady: () => this.isReady(),
				renderMetrics: async () => observer.renderMetrics(),
				explain: query => explainer.explain(query),
			}), {...statusListenerLimits, resources}),
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
			this.#applyFleetChanges();
		});
		this.#applyFleetChanges();
		this.#presence.start();
	}

	level(): GateLevel | undefined {
		return this.#gate.level();
	}

	describeLimit(): LimitState | undefined {
		return this.#gate.describeLimit();
	}

	answerOutcome(question: OutcomeRequest): OutcomeResponse {
		return this.#gate.answer(question);
	}

	async handleAnnouncement(announcement: UpstreamAnnouncement): Promise<AnnouncementOutcome> {
		return this.#presence.announce(announcement);
	}

	async removeUpstream(notice: LeaveNotice): Promise<void> {
		await this.#presence.leave(notice);
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

	#applyFleetChanges(): void {
		const {fleet, routing, clock} = this.#dependencies;
		const configuration = fleet.configuration();
		const targets = fleet.targets();
		routing.setTargets(targets, clock.now());
		this.#remoteGates.retain(targets);
		this.#channelGates?.retain(targets);
		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#applyConfiguration(configuration);
		}
	}

	#applyConfiguration(configuration: Configuration): void {
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

	/** Shuts down in four steps: notifies peers, refuses new requests, waits for running requests, and closes the listeners. */
	async #shutDown(): Promise<void> {
		const {settings, clock} = this.#dependencies;
		const deadline = clock.now() + settings.shutdownTimeoutMilliseconds;
		// Lets `stop` assign `#stopping`, from which `#announceTarget` sees that the node stops.
		await Promise.resolve();
		this.#announceTarget();
		for (const listener of Object.values(this.#listeners)) {
			listener.disableKeepAlive();
		}

		await this.#sleep(Math.min(settings.leaveNoticeMilliseconds ?? leaveNoticeMilliseconds, settings.shutdownTimeoutMilliseconds / 2));
		this.#isDraining = true;
		this.#announceTarget();
		this.#callers.drain();
		this.#gate.drain();
		while (this.inFlight() > 0 && clock.now() < deadline) {
			await this.#sleep(drainPollMilliseconds);
		}

		await this.#close();
	}

	async #close(): Promise<void> {
		this.#removeChangeListener?.();
		this.#announcements.close();
		this.#presence.close();
		this.#shutdownTimer?.cancel();
		const {shutdownTimeoutMilliseconds} = this.#dependencies.settings;
		const idleMilliseconds = Math.min(idleConnectionTimeoutMilliseconds, shutdownTimeoutMilliseconds / 4);
		const {callers, ...others} = this.#listeners;
		await callers.close(announcementIntervalMilliseconds, idleMilliseconds);
		await Promise.all(Object.values(others).map(async listener => listener.close(announcementIntervalMilliseconds)));
		this.#channelGates?.close();
		this.#channelListener?.close();
		await Promise.all([this.#gate.close(), this.#remoteGates.close()]);
	}

	async #sleep(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#shutdownTimer = this.#dependencies.clock.startTimer(milliseconds, resolve);
		});
	}
}
