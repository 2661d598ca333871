/**
Connects the configuration, gossip membership and rate limits of one node to its
peers and the control processes over RPC, and provides the resulting state of the
fleet to the node's request path.
*/

import {isDeepStrictEqual} from 'node:util';
import {
	GossipMembership, type Connectivity, type MembershipActions, type MembershipEvent, type SelfDescription,
} from '@fireflyglade/membership';
import {
	initialLabel, UnreachableError, type Clock, type Configuration, type ConfigurationUpdate, type FailureDomain, type GateLevel, type KeyId, type NodeId, type RequestId, type Revision,
	type Target, type TeamName, type Timer,
} from '@fireflyglade/model';
import {
	DistributedRateLimiter, type ChargeOutcome, type HolderView, type RateMessage, type RateTolerance,
} from '@fireflyglade/rates';
import type {
	NodeReport, ReportResponse, RpcClient, RpcServer, TeamRequestCounts,
} from '@fireflyglade/transport';
import type {Fields} from '@fireflyglade/observability';
import {TeamCharges} from '../fleet-runtime-charges/index.js';
import {ConfigurationStore} from '../fleet-runtime-configuration/index.js';
import {
	deliverMethod, fetchConfigurationMethod, withdrawKeysMethod, type PeerBatch,
} from '../fleet-runtime-methods/index.js';
import {PeerMessageSender} from '../fleet-runtime-message-sender/index.js';
import {ControlReporter} from '../fleet-runtime-reporter/index.js';
import {FleetViewLog} from '../_lib/fleet-view/index.js';
import type {KeyFreshness} from '../_lib/key-freshness/index.js';
import type {Fleet} from '../types.js';

/** Options of a fleet runtime. */
export type FleetRuntimeOptions = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** RPC addresses of control processes. */
	readonly control: readonly string[];
	/** RPC addresses of nodes through which this node joins the fleet. */
	readonly seeds: readonly string[];
	readonly client: RpcClient;
	readonly clock: Clock;
	/** Seed of the random number generator. */
	readonly randomSeed: number;
	/** True if the addresses of other nodes and control processes are also taken from the report answers of control processes. */
	readonly shouldDiscoverPeers?: boolean;
	/** Limits how long keys are accepted after a quorum last confirmed the configuration; no limit if absent. */
	readonly freshness?: KeyFreshness;
	/** What teams may use in excess of rate and burst; must be the same at every node; nothing if absent. */
	readonly rateTolerance?: RateTolerance;
	/** Milliseconds for which a control process may hold its answer to a report (long polling). */
	readonly reportWaitMilliseconds?: number;
	/** Called with changes in the node's view of the fleet, for logging. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
};

/** Addresses of the node that others use, known once its listeners are bound. */
export type AdvertisedAddresses = {
	/** `host:port` */
	readonly rpcAddress: string;
	readonly gateUrl: string;
	readonly callersUrl: string;
};

const membershipTickMilliseconds = 100;
/** Tick interval while requests are charged. */
const activeTickMilliseconds = 20;
/** Milliseconds after a charge for which the node counts as active. */
const activeWindowMilliseconds = 1000;
/** Interval at which the description of this node, the lease holders and the targets are refreshed. */
const refreshMilliseconds = 500;
const fetchTimeoutMilliseconds = 1000;
/** Time for which a newer configuration is awaited from control before it is fetched from the peer that has it. */
const fetchDelayMilliseconds = 400;
/** Longest time that `close` waits for the leave notice and the returned tokens to be delivered. */
const leaveFlushTimeoutMilliseconds = 300;
const leaveFlushPollMilliseconds = 5;

/**
The state of the fleet as known to one node.

@example
```ts
const fleet = new FleetRuntime(options);
fleet.register(server);
const rpcAddress = await server.listen('127.0.0.1:0');
fleet.start({rpcAddress, gateUrl, callersUrl});
```
*/
export class FleetRuntime implements Fleet {
	readonly #options: FleetRuntimeOptions;
	readonly #configurationStore = new ConfigurationStore();
	readonly #rateLimiter: DistributedRateLimiter;
	readonly #charges: TeamCharges;
	readonly #listeners = new Set<() => void>();
	readonly #addressByNode = new Map<NodeId, string>();
	#running: {readonly membership: GossipMembership; readonly messageSender: PeerMessageSender; readonly reporter: ControlReporter} | undefined;
	#self: SelfDescription | undefined;
	#callersUrl = '';
	#target: Target | undefined;
	#targets: readonly Target[] = [];
	#connectivity: Connectivity;
	#levelSource: (() => GateLevel | undefined) | undefined;
	#figuresSource: (() => readonly TeamRequestCounts[]) | undefined;
	#timer: Timer | undefined;
	#isTargetUpdateScheduled = false;
	#nextMembershipTickAt = 0;
	#nextRefreshAt = 0;
	#lastChargeAt = Number.NEGATIVE_INFINITY;
	#isFetchingConfiguration = false;
	#wasFresh = false;
	readonly #viewLog: FleetViewLog;
	#memberCount = 1;
	#controlAddresses: readonly string[];
	#configuredControlAddresses: readonly string[];

	constructor(options: FleetRuntimeOptions) {
		const {node, domain, clock} = options;
		this.#options = options;
		this.#controlAddresses = options.control;
		this.#configuredControlAddresses = options.control;
		this.#rateLimiter = new DistributedRateLimiter({
			node, domain, run: Math.floor(clock.wallNow()), tolerance: options.rateTolerance,
		});
		this.#charges = new TeamCharges({
			rateLimiter: this.#rateLimiter,
			clock,
			send: message => {
				this.#sendRate(message);
			},
		});
		this.#connectivity = {kind: 'control-outage', since: clock.now()};
		this.#viewLog = new FleetViewLog((event, details) => {
			options.onLogEvent?.(event, details);
		});
	}

	/** Registers the RPC handlers for calls from other nodes. Must be called before the server listens. */
	register(server: RpcServer): void {
		server.handle(deliverMethod, async batch => this.#answerBatch(batch));
		server.handle(fetchConfigurationMethod, async ({after}) => {
			const update = this.#configurationStore.updateAfter(after);
			return update === undefined ? {} : {update};
		});
		server.handle(withdrawKeysMethod, async ({keys}) => {
			this.withdrawKeys(keys);
			return {};
		});
	}

	/** Joins the fleet and starts reporting to control. */
	start({rpcAddress, gateUrl, callersUrl}: AdvertisedAddresses): void {
		const {node, domain, client, clock, seeds, randomSeed, shouldDiscoverPeers, reportWaitMilliseconds} = this.#options;
		const self: SelfDescription = {
			node, domain, rpcAddress, gateUrl, leaving: false, revision: this.configuration().revision, ...(this.#target !== undefined && {target: this.#target}),
		};
		this.#self = self;
		this.#callersUrl = callersUrl;
		const membership = new GossipMembership({
			self, seeds, isDiscovering: shouldDiscoverPeers ?? false, randomSeed, incarnation: Math.floor(clock.wallNow()), now: clock.now(),
		});
		const messageSender = new PeerMessageSender({
			client, sender: {node, rpcAddress}, receive: batch => {
				this.#receive(batch);
			},
		});
		const reporter = new ControlReporter({
			client,
			clock,
			domain,
			control: () => this.#controlAddresses,
			memberCount: () => this.#memberCount,
			...(reportWaitMilliseconds === undefined ? {} : {waitMilliseconds: reportWaitMilliseconds}),
			prepareAnswerHandler: () => this.#prepareAnswerHandler(),
			createReport: () => this.#createReport(),
			applyUpdate: update => {
				this.#applyUpdate(update);
			},
			observeQuorum() {
				membership.observeQuorum(clock.now());
			},
		}, randomSeed);
		this.#running = {membership, messageSender, reporter};
		reporter.start();
		this.#tick();
	}

	/** Notifies peers that the node leaves, returns unused tokens, and stops. Waits for the messages to be delivered, up to a timeout. */
	async close(): Promise<void> {
		const {clock} = this.#options;
		const running = this.#running;
		this.#timer?.cancel();
		running?.reporter.close();
		if (running === undefined) {
			return;
		}

		this.#charges.applyActions(this.#rateLimiter.shutDown(clock.now()));
		this.#applyMembershipActions(running.membership.leave(clock.now()));
		this.#running = undefined;
		const end = clock.now() + leaveFlushTimeoutMilliseconds;
		while (running.messageSender.pendingBatches > 0 && clock.now() < end) {
			await new Promise<void>(resolve => {
				clock.startTimer(leaveFlushPollMilliseconds, resolve);
			});
		}
	}

	configuration(): Configuration {
		return this.#configurationStore.configuration;
	}

	hasConfiguration(): boolean {
		const {freshness, clock} = this.#options;
		if (freshness === undefined) {
			return true;
		}

		return freshness.isConfirmed && this.configuration().label > initialLabel && (this.#running?.membership.hasJoined(clock.now()) ?? true);
	}

	areKeysFresh(): boolean {
		return this.#options.freshness?.isFresh() ?? true;
	}

	isKeyWithdrawn(id: KeyId): boolean {
		return this.#running?.membership.withdrawnKeys().has(id) ?? false;
	}

	/** Withdraws keys at this node and, by gossip, at every reachable node. */
	withdrawKeys(keys: readonly KeyId[]): void {
		if (this.#running !== undefined) {
			this.#applyMembershipActions(this.#running.membership.withdrawKeys(keys, this.#options.clock.now()));
		}
	}

	/** The known lease holders of the failure domains. The holder of a domain distributes the domain's share of each team's rate. */
	holders(): ReadonlyMap<FailureDomain, HolderView> {
		const now = this.#options.clock.now();
		const holders = new Map<FailureDomain, HolderView>();
		for (const domain of this.configuration().domains.keys()) {
			const lease = this.#running?.membership.lease('holder', domain, now);
			if (lease !== undefined) {
				holders.set(domain, {holder: lease.holder, fencing: lease.fencing, revision: lease.revision});
			}
		}

		return holders;
	}

	connectivity(): Connectivity {
		return this.#connectivity;
	}

	targets(): readonly Target[] {
		return this.#targets;
	}

	charge(team: TeamName, requestId: RequestId, priority?: number): ChargeOutcome | Promise<ChargeOutcome> {
		this.#recordCharge(this.#options.clock.now());
		return this.#charges.charge(team, requestId, priority);
	}

	refund(requestId: RequestId): void {
		this.#charges.refund(requestId);
	}

	settle(requestId: RequestId): void {
		this.#rateLimiter.settle(requestId);
	}

	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	announceTarget(target: Target | undefined): void {
		if (!isDeepStrictEqual(this.#target, target)) {
			this.#target = target;
		}

		this.#updateSelfDescription();
	}

	setLevelSource(source: () => GateLevel | undefined): void {
		this.#levelSource = source;
	}

	setFiguresSource(source: () => readonly TeamRequestCounts[]): void {
		this.#figuresSource = source;
	}

	/** RPC addresses of control processes that are known at present. */
	controlAddresses(): readonly string[] {
		return this.#controlAddresses;
	}

	/** Applies changed settings for the addresses of control processes. Addresses in use are kept. */
	setControlAddresses(addresses: readonly string[]): void {
		this.#configuredControlAddresses = addresses;
		this.#controlAddresses = [...new Set([...addresses, ...this.#controlAddresses])];
	}

	/** Returns the handler of a report's answer. A confirmation in the answer counts from the time of this call, which is before the report is sent. */
	#prepareAnswerHandler(): (answer: ReportResponse) => void {
		const {freshness, shouldDiscoverPeers} = this.#options;
		const askedAt = freshness?.now();
		return answer => {
			if (answer.confirmed === true && askedAt !== undefined) {
				freshness!.confirm(askedAt);
			}

			if (shouldDiscoverPeers === true) {
				this.#addSeeds(answer.peers ?? []);
				this.#updateControlAddresses(answer.control ?? []);
			}
		};
	}

	#addSeeds(addresses: readonly string[]): void {
		if (this.#running !== undefined) {
			this.#applyMembershipActions(this.#running.membership.addSeeds(addresses, this.#options.clock.now()));
		}
	}

	/** Adopts the addresses from an answer. The configured addresses are kept as a fallback for when the others become unreachable. */
	#updateControlAddresses(addresses: readonly string[]): void {
		if (addresses.length > 0) {
			this.#controlAddresses = [...new Set([...addresses, ...this.#configuredControlAddresses])];
		}
	}

	#notifyListeners(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	#createReport(): Omit<NodeReport, 'waitMilliseconds'> {
		const {node, domain} = this.#options;
		const level = this.#levelSource?.();
		return {
			node,
			domain,
			revision: this.configuration().revision,
			rpcAddress: this.#self?.rpcAddress ?? '',
			callersUrl: this.#callersUrl,
			...(this.#target !== undefined && {target: this.#target}),
			...(level !== undefined && {level}),
			teams: this.#figuresSource?.() ?? [],
			relayed: [],
		};
	}

	#updateSelfDescription(): void {
		if (this.#running === undefined || this.#self === undefined) {
			return;
		}

		const {level: _level, target: _target, ...rest} = this.#self;
		const level = this.#levelSource?.();
		this.#self = {...rest, ...(this.#target !== undefined && {target: this.#target}), ...(level !== undefined && {level})};
		this.#applyMembershipActions(this.#running.membership.describeSelf(this.#self, this.#options.clock.now()));
	}

	/** Records the time of a charge. Ticks run more often while requests are charged. */
	#recordCharge(now: number): void {
		const isIdle = now - this.#lastChargeAt > activeWindowMilliseconds;
		this.#lastChargeAt = now;
		if (isIdle && this.#running !== undefined) {
			this.#timer?.cancel();
			this.#scheduleTick(now);
		}
	}

	#scheduleTick(now: number): void {
		const isBusy = now - this.#lastChargeAt <= activeWindowMilliseconds;
		this.#timer = this.#options.clock.startTimer(isBusy ? activeTickMilliseconds : membershipTickMilliseconds, () => {
			this.#tick();
		});
	}

	#tick(): void {
		const now = this.#options.clock.now();
		const running = this.#running;
		if (running === undefined) {
			return;
		}

		this.#logFreshnessChange();
		this.#charges.applyActions(this.#rateLimiter.tick(now));
		if (now >= this.#nextMembershipTickAt) {
			this.#nextMembershipTickAt = now + membershipTickMilliseconds;
			this.#applyMembershipActions(running.membership.tick(now));
			this.#connectivity = running.membership.connectivity(now);
		}

		if (now >= this.#nextRefreshAt) {
			this.#nextRefreshAt = now + refreshMilliseconds;
			this.#updateSelfDescription();
			this.#updateHolders();
			this.#updateTargets();
			this.#viewLog.logIfChanged({
				members: this.#memberCount, targets: this.#targets.length, domains: this.configuration().domains.keys(), holders: this.holders(),
			});
		}

		this.#scheduleTick(now);
	}

	#logFreshnessChange(): void {
		const {freshness, onLogEvent} = this.#options;
		const isFresh = freshness?.isFresh() ?? true;
		if (freshness === undefined || isFresh === this.#wasFresh) {
			return;
		}

		this.#wasFresh = isFresh;
		const age = freshness.age();
		onLogEvent?.(isFresh ? 'key freshness regained' : 'key freshness lost', {
			monotonicAge: age?.monotonic, suspendedAge: age?.suspensionAware, revision: this.configuration().revision, label: this.configuration().label,
		});
	}

	async #answerBatch(batch: PeerBatch): Promise<PeerBatch> {
		const running = this.#running;
		if (running === undefined) {
			return {
				from: this.#options.node, fromAddress: '', membership: [], rates: [],
			};
		}

		return running.messageSender.collectReplies(batch.fromAddress, () => {
			this.#receive(batch);
		});
	}

	#receive(batch: PeerBatch): void {
		const {clock} = this.#options;
		const running = this.#running;
		if (running === undefined) {
			return;
		}

		this.#addressByNode.set(batch.from, batch.fromAddress);
		for (const message of batch.membership) {
			this.#applyMembershipActions(running.membership.receive(message, clock.now()));
		}

		for (const message of batch.rates) {
			this.#charges.applyActions(this.#rateLimiter.receive(message, clock.now()));
		}
	}

	#sendRate(message: RateMessage): void {
		const address = this.#addressByNode.get(message.to);
		if (address !== undefined) {
			this.#running?.messageSender.sendRate(address, message);
		}
	}

	/**
	Sends messages and handles events. Events of one kind are handled once, as their handlers
	read the current state, except for `newer-revision`, which names the peer to query.
	*/
	#applyMembershipActions({messages, events}: MembershipActions): void {
		for (const message of messages) {
			this.#running?.messageSender.sendMembership(message);
		}

		const kinds = new Set<MembershipEvent['kind']>();
		for (const event of events) {
			if (!kinds.has(event.kind) || event.kind === 'newer-revision') {
				kinds.add(event.kind);
				this.#handleMembershipEvent(event);
			}
		}
	}

	#handleMembershipEvent(event: MembershipEvent): void {
		switch (event.kind) {
			case 'members-changed':
			case 'targets-changed': {
				this.#scheduleTargetUpdate();
				return;
			}

			case 'keys-withdrawn': {
				this.#notifyListeners();
				return;
			}

			case 'holders-changed': {
				this.#updateHolders();
				return;
			}

			case 'own-lease-changed': {
				this.#updateOwnLease();
				return;
			}

			case 'target-rejected': {
				this.#options.onLogEvent?.('target rejected', {node: event.node});
				return;
			}

			case 'newer-revision': {
				void this.#fetchConfiguration(event.rpcAddress, event.revision);
				return;
			}

			default: {
				throw new UnreachableError(event);
			}
		}
	}

	/** Schedules one update of the targets for all membership events of the current turn of the event loop. */
	#scheduleTargetUpdate(): void {
		if (this.#isTargetUpdateScheduled) {
			return;
		}

		this.#isTargetUpdateScheduled = true;
		setImmediate(() => {
			this.#isTargetUpdateScheduled = false;
			this.#updateTargets();
		});
	}

	#updateTargets(): void {
		const membership = this.#running?.membership;
		if (membership === undefined) {
			return;
		}

		const members = membership.members();
		this.#memberCount = members.length;
		for (const {description} of members) {
			this.#addressByNode.set(description.node, description.rpcAddress);
		}

		const targets = membership.targets();
		if (areTargetsEqual(this.#targets, targets)) {
			return;
		}

		this.#targets = targets;
		this.#notifyListeners();
	}

	#updateHolders(): void {
		this.#charges.applyActions(this.#rateLimiter.setHolders(this.holders(), this.#options.clock.now()));
	}

	#updateOwnLease(): void {
		const {clock, domain} = this.#options;
		const now = clock.now();
		const lease = this.#running?.membership.lease('holder', domain, now);
		const own = lease?.revisionAtStart === undefined
			? undefined
			: {
				fencing: lease.fencing, until: lease.until, revisionAtStart: lease.revisionAtStart, majorityRevision: lease.revision,
			};
		this.#charges.applyActions(this.#rateLimiter.setOwnLease(own, now));
		this.#updateHolders();
	}

	/** Applies a configuration update. Returns false if it changed nothing. */
	#applyUpdate(update: ConfigurationUpdate): boolean {
		const {clock} = this.#options;
		if (this.#configurationStore.apply(update) !== 'applied') {
			return false;
		}

		const configuration = this.configuration();
		this.#charges.applyActions(this.#rateLimiter.setConfiguration(configuration, clock.now()));
		this.#charges.retain(configuration.teams);
		if (this.#running !== undefined) {
			this.#applyMembershipActions(this.#running.membership.setConfiguration(configuration, clock.now()));
			this.#updateHolders();
			this.#running.reporter.reportRevision();
		}

		this.#notifyListeners();
		return true;
	}

	async #waitForControl(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(fetchDelayMilliseconds, resolve);
		});
	}

	/** Unless control brings the revision soon, fetches newer changes from a peer, or the whole configuration if the peer no longer has all of the changes. */
	async #fetchConfiguration(address: string, revision: Revision): Promise<void> {
		if (this.#isFetchingConfiguration) {
			return;
		}

		this.#isFetchingConfiguration = true;
		try {
			await this.#waitForControl();
			if (this.configuration().revision >= revision) {
				return;
			}

			const {update} = await this.#options.client.call(fetchConfigurationMethod, address, {after: this.configuration().revision}, {timeoutMilliseconds: fetchTimeoutMilliseconds});
			if (update !== undefined) {
				this.#applyUpdate(update);
			}
		} catch {
			// The next gossip message or control answer announces the revision again.
		} finally {
			this.#isFetchingConfiguration = false;
		}
	}
}

function areTargetsEqual(before: readonly Target[], after: readonly Target[]): boolean {
	return JSON.stringify(before) === JSON.stringify(after);
}
