/**
Ties configuration, membership and rates of one node to remote calls, and answers
what the callers' path asks of the fleet.
*/

import {
	GossipMembership, type Connectivity, type MembershipActions, type MembershipEvent, type SelfDescription,
} from '@fireflyglade/membership';
import {
	initialLabel, UnreachableError, type Clock, type Configuration, type ConfigurationUpdate, type FailureDomain, type GateLevel, type KeyId, type NodeId, type RequestId,
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
import {ConfigurationKeeper} from '../fleet-runtime-configuration/index.js';
import {
	deliverMethod, fetchConfigurationMethod, withdrawKeysMethod, type PeerBatch,
} from '../fleet-runtime-methods/index.js';
import {PeerOutbox} from '../fleet-runtime-outbox/index.js';
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
	/** RPC addresses of nodes to join by. */
	readonly seeds: readonly string[];
	readonly client: RpcClient;
	readonly clock: Clock;
	/** Seed of the random choices. */
	readonly randomSeed: number;
	/** True if other nodes and control processes are learnt from the answers of control. */
	readonly discovers?: boolean;
	/** Keys are served only while a quorum has confirmed the configuration lately; always if absent. */
	readonly freshness?: KeyFreshness;
	/** What teams may get beyond rate and burst, the same at every node; nothing if absent. */
	readonly rateTolerance?: RateTolerance;
	/** Milliseconds that a control process may hold its answer to a report. */
	readonly reportWaitMilliseconds?: number;
	/** Called with what changes in the node's view of the fleet, for the log. */
	readonly onNote?: (event: string, details: Fields) => void;
};

/** Where the node can be reached, known once its listeners are bound. */
export type FleetAddresses = {
	/** `host:port` */
	readonly rpcAddress: string;
	readonly gateUrl: string;
	readonly callersUrl: string;
};

const membershipTickMilliseconds = 100;
const busyTickMilliseconds = 20;
const busyMilliseconds = 1000;
const refreshMilliseconds = 500;
const fetchTimeoutMilliseconds = 1000;
const farewellMilliseconds = 300;
const farewellPollMilliseconds = 5;

/**
The fleet as one node sees it.

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
	readonly #keeper = new ConfigurationKeeper();
	readonly #rates: DistributedRateLimiter;
	readonly #charges: TeamCharges;
	readonly #listeners = new Set<() => void>();
	readonly #addressByNode = new Map<NodeId, string>();
	#running: {readonly membership: GossipMembership; readonly outbox: PeerOutbox; readonly reporter: ControlReporter} | undefined;
	#self: SelfDescription | undefined;
	#callersUrl = '';
	#target: Target | undefined;
	#targets: readonly Target[] = [];
	#connectivity: Connectivity;
	#levelSource: (() => GateLevel | undefined) | undefined;
	#figuresSource: (() => readonly TeamRequestCounts[]) | undefined;
	#timer: Timer | undefined;
	#isTargetsDue = false;
	#nextMembershipTickAt = 0;
	#nextRefreshAt = 0;
	#lastChargeAt = Number.NEGATIVE_INFINITY;
	#isFetching = false;
	#wasFresh = false;
	readonly #viewLog: FleetViewLog;
	#memberCount = 1;
	#control: readonly string[];
	#configuredControl: readonly string[];

	constructor(options: FleetRuntimeOptions) {
		const {node, domain, clock} = options;
		this.#options = options;
		this.#control = options.control;
		this.#configuredControl = options.control;
		this.#rates = new DistributedRateLimiter({
			node, domain, run: Math.floor(clock.wallNow()), tolerance: options.rateTolerance,
		});
		this.#charges = new TeamCharges({
			keeper: this.#rates,
			clock,
			send: message => {
				this.#sendRate(message);
			},
		});
		this.#connectivity = {kind: 'control-outage', since: clock.now()};
		this.#viewLog = new FleetViewLog((event, details) => {
			options.onNote?.(event, details);
		});
	}

	/** Registers the handlers of calls between nodes; before the server listens. */
	register(server: RpcServer): void {
		server.handle(deliverMethod, async batch => this.#answerBatch(batch));
		server.handle(fetchConfigurationMethod, async ({after}) => {
			const update = this.#keeper.updateAfter(after);
			return update === undefined ? {} : {update};
		});
		server.handle(withdrawKeysMethod, async ({keys}) => {
			this.withdrawKeys(keys);
			return {};
		});
	}

	/** Joins the fleet. */
	start({rpcAddress, gateUrl, callersUrl}: FleetAddresses): void {
		const {node, domain, client, clock, seeds, randomSeed, discovers, reportWaitMilliseconds} = this.#options;
		const self: SelfDescription = {
			node, domain, rpcAddress, gateUrl, leaving: false, revision: this.configuration().revision, ...(this.#target !== undefined && {target: this.#target}),
		};
		this.#self = self;
		this.#callersUrl = callersUrl;
		const membership = new GossipMembership({
			self, seeds, isDiscovering: discovers ?? false, randomSeed, incarnation: Math.floor(clock.wallNow()), now: clock.now(),
		});
		const outbox = new PeerOutbox({
			client, sender: {node, rpcAddress}, receive: batch => {
				this.#receive(batch);
			},
		});
		const reporter = new ControlReporter({
			client,
			clock,
			control: () => this.#control,
			...(reportWaitMilliseconds === undefined ? {} : {waitMilliseconds: reportWaitMilliseconds}),
			beginReport: () => this.#beginReport(),
			describe: () => this.#describeReport(),
			takeUpdate: update => {
				this.#takeUpdate(update);
			},
			observeQuorum() {
				membership.observeQuorum(clock.now());
			},
		}, randomSeed);
		this.#running = {membership, outbox, reporter};
		reporter.start();
		this.#tick();
	}

	/** Tells peers that the node leaves, gives unused tokens back, and stops. */
	async close(): Promise<void> {
		const {clock} = this.#options;
		const running = this.#running;
		this.#timer?.cancel();
		running?.reporter.close();
		if (running === undefined) {
			return;
		}

		this.#charges.take(this.#rates.shutDown(clock.now()));
		this.#takeMembership(running.membership.leave(clock.now()));
		this.#running = undefined;
		const end = clock.now() + farewellMilliseconds;
		while (running.outbox.underWay > 0 && clock.now() < end) {
			await new Promise<void>(resolve => {
				clock.startTimer(farewellPollMilliseconds, resolve);
			});
		}
	}

	configuration(): Configuration {
		return this.#keeper.configuration;
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

	/** Withdraws keys here and, by gossip, everywhere that can be reached. */
	withdrawKeys(keys: readonly KeyId[]): void {
		if (this.#running !== undefined) {
			this.#takeMembership(this.#running.membership.withdrawKeys(keys, this.#options.clock.now()));
		}
	}

	/** The known holders of the domains' parts of the teams' rates. */
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

	charge(team: TeamName, requestId: RequestId): ChargeOutcome | Promise<ChargeOutcome> {
		this.#noteCharge(this.#options.clock.now());
		return this.#charges.charge(team, requestId);
	}

	refund(requestId: RequestId): void {
		this.#charges.refund(requestId);
	}

	settle(requestId: RequestId): void {
		this.#rates.settle(requestId);
	}

	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	announceTarget(target: Target | undefined): void {
		this.#target = target;
		this.#describeSelf();
	}

	setLevelSource(source: () => GateLevel | undefined): void {
		this.#levelSource = source;
	}

	setFiguresSource(source: () => readonly TeamRequestCounts[]): void {
		this.#figuresSource = source;
	}

	/** Takes over the addresses of control processes from changed settings. */
	setControl(addresses: readonly string[]): void {
		this.#configuredControl = addresses;
		this.#control = [...new Set([...addresses, ...this.#control])];
	}

	/** The confirmation that an answer brings counts from now, before the report is sent. */
	#beginReport(): (answer: ReportResponse) => void {
		const {freshness, discovers} = this.#options;
		const asked = freshness?.now();
		return answer => {
			if (answer.confirmed === true && asked !== undefined) {
				freshness!.confirm(asked);
			}

			if (discovers === true) {
				this.#addPeers(answer.peers ?? []);
				this.#takeControl(answer.control ?? []);
			}
		};
	}

	#addPeers(addresses: readonly string[]): void {
		if (this.#running !== undefined) {
			this.#takeMembership(this.#running.membership.addSeeds(addresses, this.#options.clock.now()));
		}
	}

	/** The addresses of the settings stay, as those of the answer may be gone one day. */
	#takeControl(addresses: readonly string[]): void {
		if (addresses.length > 0) {
			this.#control = [...new Set([...addresses, ...this.#configuredControl])];
		}
	}

	#notifyListeners(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	#describeReport(): Omit<NodeReport, 'waitMilliseconds'> {
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

	#describeSelf(): void {
		if (this.#running === undefined || this.#self === undefined) {
			return;
		}

		const {level: _level, target: _target, ...rest} = this.#self;
		const level = this.#levelSource?.();
		this.#self = {...rest, ...(this.#target !== undefined && {target: this.#target}), ...(level !== undefined && {level})};
		this.#takeMembership(this.#running.membership.describeSelf(this.#self, this.#options.clock.now()));
	}

	/** Ticks often while requests are charged, and seldom otherwise. */
	#noteCharge(now: number): void {
		const isIdle = now - this.#lastChargeAt > busyMilliseconds;
		this.#lastChargeAt = now;
		if (isIdle && this.#running !== undefined) {
			this.#timer?.cancel();
			this.#tickLater(now);
		}
	}

	#tickLater(now: number): void {
		const isBusy = now - this.#lastChargeAt <= busyMilliseconds;
		this.#timer = this.#options.clock.startTimer(isBusy ? busyTickMilliseconds : membershipTickMilliseconds, () => {
			this.#tick();
		});
	}

	#tick(): void {
		const now = this.#options.clock.now();
		const running = this.#running;
		if (running === undefined) {
			return;
		}

		this.#noteFreshness();
		this.#charges.take(this.#rates.tick(now));
		if (now >= this.#nextMembershipTickAt) {
			this.#nextMembershipTickAt = now + membershipTickMilliseconds;
			this.#takeMembership(running.membership.tick(now));
			this.#connectivity = running.membership.connectivity(now);
		}

		if (now >= this.#nextRefreshAt) {
			this.#nextRefreshAt = now + refreshMilliseconds;
			this.#describeSelf();
			this.#takeHolders();
			this.#takeTargets();
			this.#viewLog.logIfChanged({
				members: this.#memberCount, targets: this.#targets.length, domains: this.configuration().domains.keys(), holders: this.holders(),
			});
		}

		this.#tickLater(now);
	}

	#noteFreshness(): void {
		const {freshness, onNote} = this.#options;
		const isFresh = freshness?.isFresh() ?? true;
		if (freshness === undefined || isFresh === this.#wasFresh) {
			return;
		}

		this.#wasFresh = isFresh;
		const age = freshness.age();
		onNote?.(isFresh ? 'key freshness regained' : 'key freshness lost', {
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

		return running.outbox.capture(batch.fromAddress, () => {
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
			this.#takeMembership(running.membership.receive(message, clock.now()));
		}

		for (const message of batch.rates) {
			this.#charges.take(this.#rates.receive(message, clock.now()));
		}
	}

	#sendRate(message: RateMessage): void {
		const address = this.#addressByNode.get(message.to);
		if (address !== undefined) {
			this.#running?.outbox.sendRate(address, message);
		}
	}

	#takeMembership({messages, events}: MembershipActions): void {
		for (const message of messages) {
			this.#running?.outbox.sendMembership(message);
		}

		const kinds = new Set<MembershipEvent['kind']>();
		for (const event of events) {
			if (!kinds.has(event.kind) || event.kind === 'newer-revision') {
				kinds.add(event.kind);
				this.#takeEvent(event);
			}
		}
	}

	#takeEvent(event: MembershipEvent): void {
		switch (event.kind) {
			case 'members-changed':
			case 'targets-changed': {
				this.#takeTargetsSoon();
				return;
			}

			case 'keys-withdrawn': {
				this.#notifyListeners();
				return;
			}

			case 'holders-changed': {
				this.#takeHolders();
				return;
			}

			case 'own-lease-changed': {
				this.#takeOwnLease();
				return;
			}

			case 'newer-revision': {
				void this.#fetch(event.rpcAddress);
				return;
			}

			default: {
				throw new UnreachableError(event);
			}
		}
	}

	/** A burst of news leads to one look at the members. */
	#takeTargetsSoon(): void {
		if (this.#isTargetsDue) {
			return;
		}

		this.#isTargetsDue = true;
		setImmediate(() => {
			this.#isTargetsDue = false;
			this.#takeTargets();
		});
	}

	#takeTargets(): void {
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
		if (isSameTargets(this.#targets, targets)) {
			return;
		}

		this.#targets = targets;
		this.#notifyListeners();
	}

	#takeHolders(): void {
		this.#charges.take(this.#rates.setHolders(this.holders(), this.#options.clock.now()));
	}

	#takeOwnLease(): void {
		const {clock, domain} = this.#options;
		const now = clock.now();
		const lease = this.#running?.membership.lease('holder', domain, now);
		const own = lease?.revisionAtStart === undefined
			? undefined
			: {
				fencing: lease.fencing, until: lease.until, revisionAtStart: lease.revisionAtStart, majorityRevision: lease.revision,
			};
		this.#charges.take(this.#rates.setOwnLease(own, now));
		this.#takeHolders();
	}

	#takeUpdate(update: ConfigurationUpdate): boolean {
		const {clock} = this.#options;
		if (this.#keeper.apply(update) !== 'applied') {
			return false;
		}

		const configuration = this.configuration();
		this.#charges.take(this.#rates.setConfiguration(configuration, clock.now()));
		if (this.#running !== undefined) {
			this.#takeMembership(this.#running.membership.setConfiguration(configuration, clock.now()));
			this.#takeHolders();
			this.#running.reporter.reportRevision();
		}

		this.#notifyListeners();
		return true;
	}

	/** Fetches the configuration from a peer that has a newer one; the whole of it on a gap. */
	async #fetch(address: string): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		try {
			const {update} = await this.#options.client.call(fetchConfigurationMethod, address, {after: this.configuration().revision}, {timeoutMilliseconds: fetchTimeoutMilliseconds});
			if (update !== undefined) {
				this.#takeUpdate(update);
			}
		} catch {
			// Another peer, or control, tells of the revision again.
		} finally {
			this.#isFetching = false;
		}
	}
}

function isSameTargets(before: readonly Target[], after: readonly Target[]): boolean {
	return JSON.stringify(before) === JSON.stringify(after);
}
