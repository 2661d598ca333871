/**
The membership of one node: failure detection and gossip within its failure
domain, and exchange with other domains through a few gateway nodes.

Time and messages come in, messages and events go out; the class starts no timer
and opens no connection.
*/

import {
	type Configuration, type FailureDomain, type GateLevel, type KeyId, type NodeId, SeededRandom, type Target, UnreachableError,
} from '@fireflyglade/model';
import {
	indirectProbeCount, joinIntervalMilliseconds, joinPatienceMilliseconds, leaseMilliseconds, probeIntervalMilliseconds, pushFanout, rejoiningNodes, rejoinIntervalMilliseconds, suspicionMilliseconds,
	synchronizationIntervalMilliseconds,
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

const relayedProbeLimit = 64;
/** Addresses to join by that are kept. */
const largestSeedCount = 16;

/** Gossip membership. */
export class GossipMembership implements Membership {
	readonly #knowledge: GossipState;
	readonly #detector: FailureDetector;
	readonly #office: LeaseElection;
	readonly #random: SeededRandom;
	#seeds: readonly string[];
	#isDiscovering: boolean;
	readonly #heardSeeds = new Set<string>();
	readonly #relayedProbes = new Map<number, RelayedProbe>();
	#messages: MembershipMessage[] = [];
	#nextGatewayProbeAt: number;
	#nextJoinAt: number;
	#nextSynchronizationAt: number;
	#differsSince?: number;
	#relayNumber = 0;
	#hasLeft = false;
	/** True once a peer has told all that it knows, or has not for long. */
	#hasJoined = false;
	/** Since when peers could have told what they know; undefined until the node is told of any. */
	#patientFrom: number | undefined;
	#now: number;

	constructor(options: MembershipOptions) {
		const {self, seeds, randomSeed, incarnation, now} = options;
		this.#knowledge = new GossipState(options);
		this.#random = new SeededRandom(randomSeed);
		this.#detector = new FailureDetector(this.#random, now);
		this.#office = new LeaseElection(self.node, {
			revision: self.revision, incarnation, random: this.#random, now,
		});
		this.#seeds = seeds.filter(seed => seed !== self.rpcAddress);
		this.#isDiscovering = options.isDiscovering ?? false;
		this.#nextGatewayProbeAt = now;
		this.#nextJoinAt = now;
		this.#nextSynchronizationAt = now;
		this.#patientFrom = this.#isDiscovering ? undefined : now;
		this.#now = now;
	}

	receive(message: MembershipMessage, now: number): MembershipActions {
		this.#now = now;
		const {envelope, body} = message.payload as Payload;
		this.#noteSeed(message.fromAddress);
		this.#takeEvidence(message, envelope);
		this.#knowledge.learn(envelope.rumors, now);
		this.#compare(message.fromAddress, envelope);
		this.#handle(message, body);
		return this.#takeActions();
	}

	tick(now: number): MembershipActions {
		this.#now = now;
		if (this.#hasLeft) {
			return this.#takeActions();
		}

		this.#probe();
		this.#judgeSuspects();
		this.#probeOtherDomains();
		this.#join();
		this.#knowledge.pulse(now);
		this.#updateWitnesses();
		this.#applyOffice(this.#office.tick(now));
		return this.#takeActions();
	}

	/** Takes over further addresses to join by; no more than a few are kept. A node that has not joined yet does so at once. */
	addSeeds(addresses: readonly string[], now: number): MembershipActions {
		this.#now = now;
		const own = this.#knowledge.self.rpcAddress;
		const unknown = addresses.filter(address => address !== own && !this.#seeds.includes(address));
		if (unknown.length > 0) {
			this.#seeds = [...this.#seeds, ...unknown].slice(-largestSeedCount);
		}

		this.#isDiscovering &&= addresses.length === 0;
		this.#patientFrom ??= now;
		if (unknown.length > 0 && !this.#hasJoined && !this.#hasLeft) {
			this.#nextJoinAt = now;
			this.#join();
		}

		return this.#takeActions();
	}

	/**
	True once the node knows the fleet: a peer has told it all that it knows, or no
	peer has done so for long. Before that it knows neither targets nor holders.
	*/
	hasJoined(now: number): boolean {
		this.#hasJoined ||= this.#patientFrom !== undefined && now - this.#patientFrom >= joinPatienceMilliseconds;
		return this.#hasJoined;
	}

	describeSelf(description: SelfDescription, now: number): MembershipActions {
		this.#now = now;
		this.#knowledge.describeSelf(description, now);
		return this.#takeActions();
	}

	setConfiguration(configuration: Configuration, now: number): MembershipActions {
		this.#now = now;
		if (configuration.revision > this.#knowledge.configuration.revision) {
			this.#knowledge.setConfiguration(configuration);
			this.#office.setRevision(configuration.revision);
			this.#updateWitnesses();
		}

		return this.#takeActions();
	}

	withdrawKeys(keys: readonly KeyId[], now: number): MembershipActions {
		this.#now = now;
		this.#knowledge.withdraw(keys, now);
		return this.#takeActions();
	}

	withdrawnKeys(): ReadonlySet<KeyId> {
		return this.#knowledge.withdrawn;
	}

	observeQuorum(now: number): void {
		this.#knowledge.evidence.observeQuorum(now);
	}

	connectivity(now: number): Connectivity {
		const configured = this.#knowledge.configuration.domains;
		const domains = new Set(configured.size > 0 ? configured.keys() : this.#knowledge.table.domains());
		return this.#knowledge.evidence.connectivity(domains, now);
	}

	members(): readonly MemberView[] {
		return this.#knowledge.table.views();
	}

	targets(): readonly Target[] {
		return this.#knowledge.targets(this.#now);
	}

	levels(): ReadonlyMap<NodeId, GateLevel> {
		return this.#knowledge.table.levels();
	}

	lease(role: DomainRole, domain: FailureDomain, now: number): RoleLease | undefined {
		const notice = this.#knowledge.board.get(role, domain);
		const own = domain === this.#knowledge.domain ? this.#office.ownLease(role, now) : undefined;
		if (own !== undefined) {
			const {fencing, until, majorityRevision, revisionAtStart} = own;
			return {
				role, holder: this.#knowledge.node, fencing, until, revision: majorityRevision, revisionAtStart,
			};
		}

		const holder = notice === undefined ? undefined : this.#knowledge.table.get(notice.holder);
		if (notice === undefined || holder === undefined || !isPresent(holder.state) || notice.holder === this.#knowledge.node || !this.#knowledge.evidence.hears(domain, now)) {
			return undefined;
		}

		return {
			role, holder: notice.holder, fencing: notice.fencing, until: now + leaseMilliseconds, revision: notice.revision,
		};
	}

	leave(now: number): MembershipActions {
		this.#now = now;
		this.#office.withdraw();
		this.#knowledge.leave(now);
		this.#hasLeft = true;
		return this.#takeActions();
	}

	#takeActions(): MembershipActions {
		if (this.#knowledge.takeUrgency()) {
			this.#push();
		}

		const actions = {messages: this.#messages, events: this.#knowledge.takeEvents()};
		this.#messages = [];
		return actions;
	}

	#send(toAddress: string, body: Body): void {
		const envelope = this.#knowledge.envelopeFor(toAddress, body.kind, this.#now);
		const payload: Payload = {envelope, body};
		const {node, rpcAddress} = this.#knowledge.self;
		this.#messages.push({
			from: node, fromAddress: rpcAddress, toAddress, payload,
		});
	}

	#noteSeed(address: string): void {
		this.#heardSeeds.add(address);
	}

	#takeEvidence(message: MembershipMessage, envelope: Envelope): void {
		const {evidence, domain, configuration} = this.#knowledge;
		if (envelope.domain !== domain) {
			evidence.observeDomain(envelope.domain, this.#now);
		}

		for (const {domain: heard, ageMilliseconds} of envelope.domains) {
			if (heard !== domain && ageMilliseconds !== undefined) {
				evidence.observeDomain(heard, this.#now - ageMilliseconds);
			}
		}

		if (envelope.quorumAgeMilliseconds !== undefined) {
			evidence.observeQuorum(this.#now - envelope.quorumAgeMilliseconds);
		}

		if (envelope.revision > configuration.revision) {
			this.#knowledge.notify({kind: 'newer-revision', revision: envelope.revision, rpcAddress: message.fromAddress});
		}
	}

	/** Asks a peer for its whole state if what it knows differs for longer than gossip takes. */
	#compare(address: string, envelope: Envelope): void {
		const {table, withdrawn} = this.#knowledge;
		const differs = envelope.withdrawnCount > withdrawn.size || envelope.domains.some(({domain, digest}) => digest !== table.digest(domain));
		if (!differs) {
			this.#differsSince = undefined;
			return;
		}

		this.#differsSince ??= this.#now;
		if (this.#now - this.#differsSince >= synchronizationIntervalMilliseconds && this.#now >= this.#nextSynchronizationAt) {
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
				this.#applyOffice(this.#office.receiveRequest(from, body.request, this.#now));
				return;
			}

			case 'lease-vote': {
				this.#applyOffice(this.#office.receiveVote(from, body.vote, this.#now));
				return;
			}

			case 'lease-release': {
				this.#office.receiveRelease(from, body.role, body.round);
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

	#relayProbe(toAddress: string, sequence: number, targetAddress: string): void {
		this.#relayNumber--;
		this.#relayedProbes.set(this.#relayNumber, {toAddress, sequence});
		this.#relayedProbes.delete(this.#relayNumber + relayedProbeLimit);
		this.#send(targetAddress, {kind: 'probe', sequence: this.#relayNumber});
	}

	#neighbours(): MemberRecord[] {
		const {table, domain, node} = this.#knowledge;
		return table.present(domain).filter(({description}) => description.node !== node);
	}

	#probe(): void {
		const {table, node: self} = this.#knowledge;
		const candidates = (): NodeId[] => this.#neighbours().map(({description}) => description.node);
		for (const step of this.#detector.tick(candidates, this.#now)) {
			const record = table.get(step.node);
			if (record === undefined || step.node === self) {
				continue;
			}

			switch (step.kind) {
				case 'probe': {
					this.#send(record.description.rpcAddress, {kind: 'probe', sequence: step.sequence});
					break;
				}

				case 'ask-others': {
					this.#askOthers(record, step.sequence);
					break;
				}

				case 'silent': {
					this.#suspect(record);
					break;
				}

				default: {
					throw new UnreachableError(step);
				}
			}
		}
	}

	#askOthers({description}: MemberRecord, sequence: number): void {
		const others = this.#neighbours().filter(record => record.description.node !== description.node);
		for (const other of shuffle(others, this.#random).slice(0, indirectProbeCount)) {
			this.#send(other.description.rpcAddress, {
				kind: 'indirect-probe', sequence, target: description.node, targetAddress: description.rpcAddress,
			});
		}
	}

	#suspect(record: MemberRecord): void {
		if (record.state === 'alive') {
			this.#knowledge.judge(record, 'suspect', this.#now);
		}
	}

	#judgeSuspects(): void {
		const {table, domain} = this.#knowledge;
		for (const record of table.suspectedSince(domain, this.#now - suspicionMilliseconds)) {
			this.#knowledge.judge(record, 'dead', this.#now);
		}

		table.dropTombstones(this.#now);
	}

	#probeOtherDomains(): void {
		if (this.#now < this.#nextGatewayProbeAt) {
			return;
		}

		this.#nextGatewayProbeAt = this.#now + probeIntervalMilliseconds;
		for (const record of this.#remoteGateways(1)) {
			this.#send(record.description.rpcAddress, {kind: 'probe', sequence: 0});
		}
	}

	/** Up to `count` gateways of each other domain, if this node is a gateway of its own. */
	#remoteGateways(count: number): MemberRecord[] {
		const {table, domain: own, node, evidence} = this.#knowledge;
		const isGateway = chooseGateways(table.present(own)).some(({description}) => description.node === node);
		const chosen: MemberRecord[] = [];
		for (const domain of isGateway ? table.domains() : []) {
			if (domain !== own) {
				const members = table.present(domain);
				const reachable = evidence.hears(domain, this.#now) ? chooseGateways(members) : members;
				chosen.push(...shuffle(reachable, this.#random).slice(0, count));
			}
		}

		return chosen;
	}

	/** Reaches for seeds that were never heard and, a few nodes of a domain at a time, for members that fell silent. */
	#join(): void {
		if (this.#now < this.#nextJoinAt) {
			return;
		}

		this.#nextJoinAt = this.#now + (this.hasJoined(this.#now) ? rejoinIntervalMilliseconds : joinIntervalMilliseconds);
		const [seed] = shuffle(this.#seeds.filter(address => !this.#heardSeeds.has(address)), this.#random);
		if (seed !== undefined) {
			this.#send(seed, {kind: 'synchronize'});
		}

		if (this.#random.nextInteger(this.#neighbours().length + 1) < rejoiningNodes) {
			this.#probeDead();
		}
	}

	#probeDead(): void {
		const dead = [...this.#knowledge.table.records()].filter(({state}) => state === 'dead');
		const [record] = shuffle(dead, this.#random);
		if (record !== undefined) {
			this.#send(record.description.rpcAddress, {kind: 'probe', sequence: 0});
		}
	}

	/** Sends news at once to a few neighbours and, from a gateway, to other domains. */
	#push(): void {
		const neighbours = shuffle(this.#neighbours(), this.#random).slice(0, pushFanout);
		for (const record of [...neighbours, ...this.#remoteGateways(1)]) {
			this.#send(record.description.rpcAddress, {kind: 'news'});
		}
	}

	#updateWitnesses(): void {
		const hasJoined = !this.#isDiscovering && this.#seeds.every(address => this.#heardSeeds.has(address));
		const {witnesses, isProvisional} = chooseWitnesses(this.#knowledge, hasJoined);
		this.#office.setWitnesses(witnesses, isProvisional, this.#now);
	}

	#applyOffice(actions: ElectionActions): void {
		const {table, board, domain, node, configuration} = this.#knowledge;
		for (const {to, body} of actions.messages) {
			const address = table.get(to)?.description.rpcAddress;
			if (address !== undefined) {
				this.#send(address, body);
			}
		}

		for (const role of actions.changed) {
			this.#noteOwnLease(role, domain, node, configuration);
		}

		for (const {role, domain: leased, fencing} of board.all()) {
			if (leased === domain) {
				this.#office.observeFencing(role, fencing);
			}
		}
	}

	#noteOwnLease(role: DomainRole, domain: FailureDomain, holder: NodeId, configuration: Configuration): void {
		const lease = this.#office.ownLease(role, this.#now);
		if (lease !== undefined) {
			const reached = Math.min(lease.majorityRevision, configuration.revision) as typeof configuration.revision;
			this.#knowledge.noteLease({
				role, domain, holder, fencing: lease.fencing, revision: reached,
			}, this.#now);
		}

		if (role === 'holder') {
			this.#knowledge.notify({kind: 'own-lease-changed'});
		}
	}
}
