/**
Everything that a node knows by gossip: the members of all domains, the holders
of leased roles, withdrawn keys and the evidence of what it still hears.
*/

import {isDeepStrictEqual} from 'node:util';
import {
	type Configuration, emptyConfiguration, type FailureDomain, type GateLevel, type KeyId, type NodeId, type Target, UnreachableError,
} from '@fireflyglade/model';
import type {
	Body, DomainDigest, Envelope, LeaseNotice, MemberDescription, MemberRecord, GossipUpdate,
} from '../_lib/messages.js';
import {leastPulseMilliseconds, pulseMillisecondsPerMember} from '../_lib/constants.js';
import {ConnectivityEvidence} from '../connectivity-evidence/index.js';
import {LeaseTable} from '../lease-table/index.js';
import {MemberTable, isPresent} from '../member-table/index.js';
import {domainRoles} from '../lease-election/index.js';
import {GossipQueue} from '../gossip-queue/index.js';
import type {MembershipEvent, MembershipOptions, SelfDescription} from '../types.js';

/** What a node knows by gossip. */
export class GossipState {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly table = new MemberTable();
	readonly board = new LeaseTable();
	readonly evidence: ConnectivityEvidence;
	readonly withdrawn = new Set<KeyId>();
	readonly #rumors = new GossipQueue();
	readonly #nodeByAddress = new Map<string, NodeId>();
	#self: SelfDescription;
	#incarnation: number;
	#version = 0;
	#isLeft = false;
	#pulseSequence = 0;
	#lastPulse?: {readonly level?: GateLevel; readonly revision: number; readonly at: number};
	#configuration: Configuration = emptyConfiguration;
	#events: MembershipEvent[] = [];
	#isUrgent = false;

	constructor({self, incarnation, now}: MembershipOptions) {
		this.node = self.node;
		this.domain = self.domain;
		this.evidence = new ConnectivityEvidence(self.domain, now);
		this.#self = self;
		this.#incarnation = incarnation;
		this.#mergeMember(this.selfRecord(), now);
		this.#isUrgent = false;
		this.#events = [];
	}

	get self(): SelfDescription {
		return this.#self;
	}

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Takes what the shell has to act on. */
	takeEvents(): MembershipEvent[] {
		const events = this.#events;
		this.#events = [];
		return events;
	}

	/** Tells, once, whether news came that should be sent on at once. */
	takeUrgency(): boolean {
		const isUrgent = this.#isUrgent;
		this.#isUrgent = false;
		return isUrgent;
	}

	notify(event: MembershipEvent): void {
		this.#events.push(event);
	}

	setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
		this.#self = {...this.#self, revision: configuration.revision};
		this.#isUrgent = true;
	}

	describeSelf(description: SelfDescription, now: number): void {
		const before = describe(this.#self);
		this.#self = {...description, revision: this.#configuration.revision};
		if (!isDeepStrictEqual(before, describe(description))) {
			this.#announceSelf(now);
		}
	}

	/** Tells that the node leaves. */
	leave(now: number): void {
		this.#isLeft = true;
		this.#self = {...this.#self, leaving: true};
		this.#announceSelf(now);
	}

	selfRecord(): MemberRecord {
		return {
			description: describe(this.#self), incarnation: this.#incarnation, version: this.#version, state: this.#isLeft ? 'left' : 'alive',
		};
	}

	/** Queues the node's level and revision, if they changed enough and it is time. */
	pulse(now: number): void {
		const {level, revision} = this.#self;
		const interval = Math.max(leastPulseMilliseconds, this.table.present(this.domain).length * pulseMillisecondsPerMember);
		const last = this.#lastPulse;
		if (last !== undefined && (now - last.at < interval || (last.revision === revision && !isMoved(last.level, level)))) {
			return;
		}

		this.#pulseSequence++;
		this.#lastPulse = {revision, at: now, ...(level !== undefined && {level})};
		const pulse = {
			node: this.node, incarnation: this.#incarnation, sequence: this.#pulseSequence, revision, ...(level !== undefined && {level}),
		};
		this.table.mergePulse(pulse);
		this.#rumors.add({kind: 'pulse', pulse}, now);
	}

	/** Changes a member's state as seen here. */
	judge(record: MemberRecord, state: MemberRecord['state'], now: number): void {
		this.#mergeMember({...record, state}, now);
	}

	/** Adds withdrawn keys. */
	withdraw(keys: readonly KeyId[], now: number): void {
		const added = keys.filter(key => !this.withdrawn.has(key));
		if (added.length === 0) {
			return;
		}

		for (const key of added) {
			this.withdrawn.add(key);
		}

		this.#rumors.add({kind: 'withdrawn', keys: added}, now);
		this.#events.push({kind: 'keys-withdrawn', keys: added});
		this.#isUrgent = true;
	}

	/** Takes over word of a leased role. */
	noteLease(lease: LeaseNotice, now: number): void {
		if (!this.board.merge(lease)) {
			return;
		}

		this.#rumors.add({kind: 'lease', lease}, now);
		this.#isUrgent = true;
		if (lease.role === 'holder') {
			this.#events.push({kind: 'holders-changed'});
		}
	}

	/** Takes over news from a peer. */
	learn(rumors: readonly GossipUpdate[], now: number): void {
		for (const rumor of rumors) {
			this.#learnOne(rumor, now);
		}
	}

	/** Writes the part that rides on a message to `address`. */
	envelopeFor(address: string, kind: Body['kind'], now: number): Envelope {
		const quorumAge = this.evidence.quorumAge(now);
		return {
			sender: this.node,
			domain: this.domain,
			revision: this.#configuration.revision,
			...(quorumAge !== undefined && {quorumAgeMilliseconds: quorumAge}),
			domains: this.#digests(now),
			withdrawnCount: this.withdrawn.size,
			rumors: this.#rumorsOf(kind, address, now),
		};
	}

	/** The record of the member that listens at an address. */
	recordAt(address: string): MemberRecord | undefined {
		const node = this.#nodeByAddress.get(address);
		return node === undefined ? undefined : this.table.get(node);
	}

	/** Targets of members that take part, in domains that are heard. */
	targets(now: number): Target[] {
		const targets: Target[] = [];
		for (const {description, state} of this.table.records()) {
			const {target, domain, leaving} = description;
			if (target !== undefined && isPresent(state) && this.evidence.hears(domain, now)) {
				targets.push(leaving ? {...target, available: false} : target);
			}
		}

		return targets;
	}

	#rumorsOf(kind: Body['kind'], address: string, now: number): GossipUpdate[] {
		if (kind === 'state') {
			return this.#wholeState();
		}

		const rumors = this.#rumorsFor(address, now);
		return kind === 'synchronize' ? [{kind: 'member', record: this.selfRecord()}, ...rumors] : rumors;
	}

	#rumorsFor(address: string, now: number): GossipUpdate[] {
		const receiver = this.recordAt(address);
		const isNeighbour = receiver?.description.domain === this.domain;
		const rumors = this.#rumors.take(this.table.present(this.domain).length, isNeighbour, now);
		if (receiver !== undefined && receiver.state !== 'alive') {
			rumors.unshift({kind: 'member', record: receiver});
		}

		return rumors;
	}

	#wholeState(): GossipUpdate[] {
		const rumors: GossipUpdate[] = [];
		for (const record of this.table.records()) {
			rumors.push({kind: 'member', record});
		}

		for (const lease of this.board.all()) {
			rumors.push({kind: 'lease', lease});
		}

		rumors.push({kind: 'withdrawn', keys: [...this.withdrawn]});
		return rumors;
	}

	#digests(now: number): DomainDigest[] {
		const digests: DomainDigest[] = [];
		for (const domain of this.table.domains()) {
			const age = this.evidence.domainAge(domain, now);
			digests.push({domain, digest: this.table.digest(domain), ...(age !== undefined && {ageMilliseconds: age})});
		}

		return digests;
	}

	#learnOne(rumor: GossipUpdate, now: number): void {
		switch (rumor.kind) {
			case 'member': {
				this.#learnMember(rumor.record, now);
				return;
			}

			case 'pulse': {
				if (this.table.mergePulse(rumor.pulse)) {
					this.#rumors.add(rumor, now);
				}

				return;
			}

			case 'lease': {
				this.noteLease(rumor.lease, now);
				return;
			}

			case 'withdrawn': {
				this.withdraw(rumor.keys, now);
				return;
			}

			default: {
				throw new UnreachableError(rumor);
			}
		}
	}

	#learnMember(record: MemberRecord, now: number): void {
		if (record.description.node !== this.node) {
			this.#mergeMember(record, now);
			return;
		}

		const isEarlierRun = record.incarnation < this.#incarnation;
		const isOwnWord = record.incarnation === this.#incarnation && (record.version < this.#version || isDeepStrictEqual(record, this.selfRecord()));
		if (isEarlierRun || isOwnWord) {
			return;
		}

		this.#incarnation = record.incarnation;
		this.#version = record.version;
		this.#announceSelf(now);
	}

	#announceSelf(now: number): void {
		this.#version++;
		this.#mergeMember(this.selfRecord(), now);
	}

	#mergeMember(record: MemberRecord, now: number): void {
		const {node, rpcAddress} = record.description;
		const before = this.table.get(node);
		if (!this.table.merge(record, now)) {
			return;
		}

		this.#nodeByAddress.set(rpcAddress, node);
		this.#rumors.add({kind: 'member', record}, now);
		this.#isUrgent = true;
		this.#events.push({kind: 'members-changed'});
		const wasPresent = before !== undefined && isPresent(before.state);
		if (wasPresent !== isPresent(record.state) || !isDeepStrictEqual(before?.description, record.description)) {
			this.#events.push({kind: 'targets-changed'});
		}

		if (domainRoles.some(role => this.board.get(role, record.description.domain)?.holder === node)) {
			this.#events.push({kind: 'holders-changed'});
		}
	}
}

/** The part of a self-description that seldom changes. */
function describe(self: SelfDescription): MemberDescription {
	const {level: _level, revision: _revision, ...description} = self;
	return description;
}

const movedShare = 0.25;

/** Tells whether a level moved enough to be told. */
function isMoved(before: GateLevel | undefined, after: GateLevel | undefined): boolean {
	if (before === undefined || after === undefined) {
		return before !== after;
	}

	const loadBefore = before.inFlight + before.queueLength;
	const loadAfter = after.inFlight + after.queueLength;
	return before.shedPriority !== after.shedPriority
		|| Math.abs(before.limit - after.limit) > movedShare * before.limit
		|| Math.abs(loadBefore - loadAfter) > movedShare * after.limit;
}
