/**
The membership of one node: failure detection and gossip within its failure
domain, and exchange with other domains through a few gateway nodes.

The class starts no timers and opens no connections: the caller passes in the time
and received messages, and handles the returned messages and events.
*/

import {
	type Configuration, type FailureDomain, type GateLevel, type KeyId, type NodeId, SeededRandom, type Target, UnreachableError,
} from '@fireflyglade/model';
import {
	deadProbersPerInterval, indirectProbeCount, joinIntervalMilliseconds, joinTimeoutMilliseconds, leaseMilliseconds, probeIntervalMilliseconds, pushFanout, rejoinIntervalMilliseconds,
	suspicionMilliseconds, synchronizationIntervalMilliseconds,
} from '../_lib/constants.js';
import type {
	Body, Envelope, MemberRecord, Payload,
} from '../_lib/messages.js';
import {FailureDetector, shuffle} from '../failure-detector/index.js';
import {chooseGateways} from '../choose-gateways/index.js';
import {GossipState} from '../gossip-state/index.js';
import {isPresent} from '../member-table/index.js';
import {chooseWitnesses} from '../choose-witnesses/index.js';
import {type ElectionActions, LeaseElection} from '../lease-election/index.js';
import type {
	Connectivity, DomainRole, Membership, MembershipActions, MembershipMessage, MembershipOptions, MemberView, RoleLease, SelfDescription,
} from '../types.js';

type RelayedProbe = {
	readonly toAddress: string;
	readonly sequence: number;
};

/** Maximum number of relayed probes whose acknowledgement is still accepted. */
const maximumRelayedProbes = 64;
/** Maximum number of seed addresses that are kept. */
const maximumSeeds = 16;

/** Membership by gossip. */
export class GossipMembership implements Membership {
	readonly #state: GossipState;
	readonly #detector: FailureDetector;
	readonly #election: LeaseElection;
	readonly #random: SeededRandom;
	#seeds: readonly string[];
	#isDiscovering: boolean;
	/** Addresses from which a message was received. */
	readonly #contactedAddresses = new Set<string>();
	readonly #relayedProbes = new Map<number, RelayedProbe>();
	#messages: MembershipMessage[] = [];
	#nextGatewayProbeAt: number;
	#nextJoinAt: number;
	#nextSynchronizationAt: number;
	#digestDiffersSince?: number;
	#relaySequence = 0;
	#hasLeft = false;
	/** True once a peer has sent its full state, or the join has timed out. */
	#hasJoined = false;
	/** Time from which the join timeout counts; undefined while a discovering node waits for the first call of `addSeeds`. */
	#joinStartedAt: number | undefined;
	#now: number;

	constructor(options: MembershipOptions) {
		const {self, seeds, randomSeed, incarnation, now} = options;
		this.#state = new GossipState(options);
		this.#random = new SeededRandom(randomSeed);
		this.#detector = new FailureDetector(this.#random, now);
		this.#election = new LeaseElection(self.node, {
			revision: self.revision, incarnation, random: this.#random, now,
		});
		this.#seeds = seeds.filter(seed => seed !== self.rpcAddress);
		this.#isDiscovering = options.isDiscovering ?? false;
		this.#nextGatewayProbeAt = now;
		this.#nextJoinAt = now;
		this.#nextSynchronizationAt = now;
		this.#joinStartedAt = this.#isDiscovering ? undefined : now;
		this.#now = now;
	}

	receive(message: MembershipMessage, now: number): MembershipActions {
		this.#now = now;
		const {envelope, body} = message.payload as Payload;
		this.#recordContact(message.fromAddress);
		this.#recordEvidence(message, envelope);
		this.#state.mergeUpdates(envelope.rumors, now);
		this.#compareDigests(message.fromAddress, envelope);
		this.#handle(message, body);
		return this.#takeActions();
	}

	tick(now: number): MembershipActions {
		this.#now = now;
		if (this.#hasLeft) {
			return this.#takeActions();
		}

		this.#probeMembers();
		this.#expireSuspects();
		this.#probeOtherDomains();
		this.#join();
		this.#state.pulse(now);
		this.#updateWitnesses();
		this.#applyElection(this.#election.tick(now));
		return this.#takeActions();
	}

	/** Adds addresses through which to join; only the latest few are kept. A node that has not joined yet tries to do so at once. */
	addSeeds(addresses: readonly string[], now: number): MembershipActions {
		this.#now = now;
		const own = this.#state.self.rpcAddress;
		const unknown = addresses.filter(address => address !== own && !this.#seeds.includes(address));
		if (unknown.length > 0) {
			this.#seeds = [...this.#seeds, ...unknown].slice(-maximumSeeds);
		}

		this.#isDiscovering &&= addresses.length === 0;
		this.#joinStartedAt ??= now;
		if (unknown.length > 0 && !this.#hasJoined && !this.#hasLeft) {
			this.#nextJoinAt = now;
			this.#join();
		}

		return this.#takeActions();
	}

	/**
	Returns true once the node knows the fleet: a peer has sent its full state, or the
	join has timed out. Before that the node knows neither targets nor lease holders.
	*/
	hasJoined(now: number): boolean {
		this.#hasJoined ||= this.#joinStartedAt !== undefined && now - this.#joinStartedAt >= joinTimeoutMilliseconds;
		return this.#hasJoined;
	}

	describeSelf(description: SelfDescription, now: number): MembershipActions {
		this.#now = now;
		this.#state.describeSelf(description, now);
		return this.#takeActions();
	}

	setConfiguration(configuration: Configuration, now: number): MembershipActions {
		this.#now = now;
		if (configuration.revision > this.#state.configuration.revision) {
			this.#state.setConfiguration(configuration);
			this.#election.setRevision(configuration.revision);
			this.#updateWitnesses();
		}

		return this.#takeActions();
	}

	withdrawKeys(keys: readonly KeyId[], now: number): MembershipActions {
		this.#now = now;
		this.#state.withdraw(keys, now);
		return this.#takeActions();
	}

	withdrawnKeys(): ReadonlySet<KeyId> {
		return this.#state.withdrawn;
	}

	observeQuorum(now: number): void {
		this.#state.evidence.observeQuorum(now);
	}

	connectivity(now: number): Connectivity {
		const configured = this.#state.configuration.domains;
		const domains = new Set(configured.size > 0 ? configured.keys() : this.#state.table.domains());
		return this.#state.evidence.connectivity(domains, now);
	}

	members(): readonly MemberView[] {
		return this.#state.table.views();
	}

	targets(): readonly Target[] {
		return this.#state.targets(this.#now);
	}

	levels(): ReadonlyMap<NodeId, GateLevel> {
		return this.#state.table.levels();
	}

	lease(role: DomainRole, domain: FailureDomain, now: number): RoleLease | undefined {
		const notice = this.#state.leases.get(role, domain);
		const own = domain === this.#state.domain ? this.#election.ownLease(role, now) : undefined;
		if (own !== undefined) {
			const {fencing, until, majorityRevision, revisionAtStart} = own;
			return {
				role, holder: this.#state.node, fencing, until, revision: majorityRevision, revisionAtStart,
			};
		}

		const holder = notice === undefined ? undefined : this.#state.table.get(notice.holder);
		if (notice === undefined || holder === undefined || !isPresent(holder.state) || notice.holder === this.#state.node || !this.#state.evidence.isReachable(domain, now)) {
			return undefined;
		}

		return {
			role, holder: notice.holder, fencing: notice.fencing, until: now + leaseMilliseconds, revision: notice.revision,
		};
	}

	leave(now: number): MembershipActions {
		this.#now = now;
		this.#election.withdraw();
		this.#state.leave(now);
		this.#hasLeft = true;
		return this.#takeActions();
	}

	#takeActions(): MembershipActions {
		if (this.#state.takeUrgentFlag()) {
			this.#pushUpdates();
		}

		const actions = {messages: this.#messages, events: this.#state.takeEvents()};
		this.#messages = [];
		return actions;
	}

	#send(toAddress: string, body: Body): void {
		const envelope = this.#state.createEnvelope(toAddress, body.kind, this.#now);
		const payload: Payload = {envelope, body};
		const {node, rpcAddress} = this.#state.self;
		this.#messages.push({
			from: node, fromAddress: rpcAddress, toAddress, payload,
		});
	}

	#recordContact(address: string): void {
		this.#contactedAddresses.add(address);
	}

	#recordEvidence(message: MembershipMessage, envelope: Envelope): void {
		const {evidence, domain, configuration} = this.#state;
		if (envelope.domain !== domain) {
			evidence.observeDomain(envelope.domain, this.#now);
		}

		for (const {domain: reported, ageMilliseconds} of envelope.domains) {
			if (reported !== domain && ageMilliseconds !== undefined) {
				evidence.observeDomain(reported, this.#now - ageMilliseconds);
			}
		}

		if (envelope.quorumAgeMilliseconds !== undefined) {
			evidence.observeQuorum(this.#now - envelope.quorumAgeMilliseconds);
		}

		if (envelope.revision > configuration.revision) {
			this.#state.addEvent({kind: 'newer-revision', revision: envelope.revision, rpcAddress: message.fromAddress});
		}
	}

	/** Requests a peer's full state if its digests have differed for longer than gossip needs to spread updates. */
	#compareDigests(address: string, envelope: Envelope): void {
		const {table, withdrawn} = this.#state;
		const isDifferent = envelope.withdrawnCount > withdrawn.size || envelope.domains.some(({domain, digest}) => digest !== table.digest(domain));
		if (!isDifferent) {
			this.#digestDiffersSince = undefined;
			return;
		}

		this.#digestDiffersSince ??= this.#now;
		if (this.#now - this.#digestDiffersSince >= synchronizationIntervalMilliseconds && this.#now >= this.#nextSynchronizationAt) {
			this.#nextSynchronizationAt = this.#now + synchronizationIntervalMilliseconds;
			this.#send(address, {kind: 'synchronize'});
		}
	}

	#handle({from, fromAddress}: MembershipMessage, body: Body): void {
		switch (body.kind) {
			case 'probe': {
				this.#send(fromAddress, {kind: 'acknowledgement', sequence: body.sequence});
				return;
			}

			case 'acknowledgement': {
				this.#acknowledge(body.sequence);
				return;
			}

			case 'indirect-probe': {
				this.#relayProbe(fromAddress, body.sequence, body.targetAddress);
				return;
			}

			case 'synchronize': {
				this.#send(fromAddress, {kind: 'state'});
				return;
			}

			case 'lease-request': {
				this.#applyElection(this.#election.receiveRequest(from, body.request, this.#now));
				return;
			}

			case 'lease-vote': {
				this.#applyElection(this.#election.receiveVote(from, body.vote, this.#now));
				return;
			}

			case 'lease-release': {
				this.#election.receiveRelease(from, body.role, body.round);
				return;
			}

			case 'state': {
				this.#hasJoined = true;
				return;
			}

			case 'news': {
				return;
			}

			default: {
				throw new UnreachableError(body);
			}
		}
	}

	#acknowledge(sequence: number): void {
		this.#detector.acknowledge(sequence);
		const relayed = this.#relayedProbes.get(sequence);
		if (relayed !== undefined) {
			this.#relayedProbes.delete(sequence);
			this.#send(relayed.toAddress, {kind: 'acknowledgement', sequence: relayed.sequence});
		}
	}

	/** Probes a member on behalf of another one. Relayed probes have negative sequence numbers, which differ from those of the detector. */
	#relayProbe(toAddress: string, sequence: number, targetAddress: string): void {
		this.#relaySequence--;
		this.#relayedProbes.set(this.#relaySequence, {toAddress, sequence});
		this.#relayedProbes.delete(this.#relaySequence + maximumRelayedProbes);
		this.#send(targetAddress, {kind: 'probe', sequence: this.#relaySequence});
	}

	#domainPeers(): MemberRecord[] {
		const {table, domain, node} = this.#state;
		return table.present(domain).filter(({description}) => description.node !== node);
	}

	#probeMembers(): void {
		const {table, node: self} = this.#state;
		const candidates = (): NodeId[] => this.#domainPeers().map(({description}) => description.node);
		for (const action of this.#detector.tick(candidates, this.#now)) {
			const record = table.get(action.node);
			if (record === undefined || action.node === self) {
				continue;
			}

			switch (action.kind) {
				case 'probe': {
					this.#send(record.description.rpcAddress, {kind: 'probe', sequence: action.sequence});
					break;
				}

				case 'ask-others': {
					this.#requestIndirectProbes(record, action.sequence);
					break;
				}

				case 'silent': {
					this.#suspect(record);
					break;
				}

				default: {
					throw new UnreachableError(action);
				}
			}
		}
	}

	#requestIndirectProbes({description}: MemberRecord, sequence: number): void {
		const others = this.#domainPeers().filter(record => record.description.node !== description.node);
		for (const other of shuffle(others, this.#random).slice(0, indirectProbeCount)) {
			this.#send(other.description.rpcAddress, {
				kind: 'indirect-probe', sequence, target: description.node, targetAddress: description.rpcAddress,
			});
		}
	}

	#suspect(record: MemberRecord): void {
		if (record.state === 'alive') {
			this.#state.setMemberState(record, 'suspect', this.#now);
		}
	}

	#expireSuspects(): void {
		const {table, domain} = this.#state;
		for (const record of table.expiredSuspects(domain, this.#now - suspicionMilliseconds)) {
			this.#state.setMemberState(record, 'dead', this.#now);
		}

		table.removeTombstones(this.#now);
	}

	/** Sends a probe to a gateway of each other domain. Sequence 0 belongs to no probe of the detector: the acknowledgement only counts as contact with the domain. */
	#probeOtherDomains(): void {
		if (this.#now < this.#nextGatewayProbeAt) {
			return;
		}

		this.#nextGatewayProbeAt = this.#now + probeIntervalMilliseconds;
		for (const record of this.#selectRemoteGateways(1)) {
			this.#send(record.description.rpcAddress, {kind: 'probe', sequence: 0});
		}
	}

	/**
	Selects up to `count` gateways of each other domain if this node is a gateway of its
	own domain. Any present member of an unreachable domain may be selected.
	*/
	#selectRemoteGateways(count: number): MemberRecord[] {
		const {table, domain: own, node, evidence} = this.#state;
		const isGateway = chooseGateways(table.present(own)).some(({description}) => description.node === node);
		const selected: MemberRecord[] = [];
		for (const domain of isGateway ? table.domains() : []) {
			if (domain !== own) {
				const members = table.present(domain);
				const reachable = evidence.isReachable(domain, this.#now) ? chooseGateways(members) : members;
				selected.push(...shuffle(reachable, this.#random).slice(0, count));
			}
		}

		return selected;
	}

	/** Contacts a seed that has not sent a message yet. A few nodes of a domain per interval also probe a dead member. */
	#join(): void {
		if (this.#now < this.#nextJoinAt) {
			return;
		}

		this.#nextJoinAt = this.#now + (this.hasJoined(this.#now) ? rejoinIntervalMilliseconds : joinIntervalMilliseconds);
		const [seed] = shuffle(this.#seeds.filter(address => !this.#contactedAddresses.has(address)), this.#random);
		if (seed !== undefined) {
			this.#send(seed, {kind: 'synchronize'});
		}

		if (this.#random.nextInteger(this.#domainPeers().length + 1) < deadProbersPerInterval) {
			this.#probeDeadMember();
		}
	}

	/** Sends a probe to a random dead member; it carries the member's record, which the member refutes if it runs. */
	#probeDeadMember(): void {
		const dead = [...this.#state.table.records()].filter(({state}) => state === 'dead');
		const [record] = shuffle(dead, this.#random);
		if (record !== undefined) {
			this.#send(record.description.rpcAddress, {kind: 'probe', sequence: 0});
		}
	}

	/** Sends updates at once to a few members of the domain and, from a gateway, to one member of each other domain. */
	#pushUpdates(): void {
		const peers = shuffle(this.#domainPeers(), this.#random).slice(0, pushFanout);
		for (const record of [...peers, ...this.#selectRemoteGateways(1)]) {
			this.#send(record.description.rpcAddress, {kind: 'news'});
		}
	}

	#updateWitnesses(): void {
		const hasContactedSeeds = !this.#isDiscovering && this.#seeds.every(address => this.#contactedAddresses.has(address));
		const {witnesses, isProvisional} = chooseWitnesses(this.#state, hasContactedSeeds);
		this.#election.setWitnesses(witnesses, isProvisional, this.#now);
	}

	#applyElection(actions: ElectionActions): void {
		const {table, leases, domain, node, configuration} = this.#state;
		for (const {to, body} of actions.messages) {
			const address = table.get(to)?.description.rpcAddress;
			if (address !== undefined) {
				this.#send(address, body);
			}
		}

		for (const role of actions.changed) {
			this.#publishOwnLease(role, domain, node, configuration);
		}

		for (const {role, domain: leaseDomain, fencing} of leases.all()) {
			if (leaseDomain === domain) {
				this.#election.observeFencing(role, fencing);
			}
		}
	}

	#publishOwnLease(role: DomainRole, domain: FailureDomain, holder: NodeId, configuration: Configuration): void {
		const lease = this.#election.ownLease(role, this.#now);
		if (lease !== undefined) {
			const reached = Math.min(lease.majorityRevision, configuration.revision) as typeof configuration.revision;
			this.#state.mergeLease({
				role, domain, holder, fencing: lease.fencing, revision: reached,
			}, this.#now);
		}

		if (role === 'holder') {
			this.#state.addEvent({kind: 'own-lease-changed'});
		}
	}
}
