/**
The state that nodes replicate by gossip: the members of all domains, the holders of
leased roles, withdrawn keys, and the times of the last contacts with the control
quorum and other domains.
*/

import {isDeepStrictEqual} from 'node:util';
import {
	type Configuration, emptyConfiguration, type FailureDomain, type GateLevel, type KeyId, type NodeId, type Target, UnreachableError,
} from '@fireflyglade/model';
import type {
	Body, DomainDigest, Envelope, LeaseNotice, MemberDescription, MemberRecord, GossipUpdate,
} from '../_lib/messages.js';
import {isUsableTarget} from '../_lib/usable-target/index.js';
import {minimumPulseIntervalMilliseconds, pulseIntervalMillisecondsPerMember} from '../_lib/constants.js';
import {ConnectivityEvidence} from '../connectivity-evidence/index.js';
import {LeaseTable} from '../lease-table/index.js';
import {MemberTable, isPresent} from '../member-table/index.js';
import {domainRoles} from '../lease-election/index.js';
import {GossipQueue} from '../gossip-queue/index.js';
import type {MembershipEvent, MembershipOptions, SelfDescription} from '../types.js';

/** One node's copy of the gossip state. */
export class GossipState {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly table = new MemberTable();
	readonly leases = new LeaseTable();
	readonly evidence: ConnectivityEvidence;
	readonly withdrawn = new Set<KeyId>();
	readonly #queue = new GossipQueue();
	readonly #nodeByAddress = new Map<string, NodeId>();
	#self: SelfDescription;
	#incarnation: number;
	#version = 0;
	#hasLeft = false;
	#pulseSequence = 0;
	#lastPulse?: {readonly level?: GateLevel; readonly revision: number; readonly at: number};
	#configuration: Configuration = emptyConfiguration;
	#events: MembershipEvent[] = [];
	#hasUrgentUpdates = false;

	constructor({self, incarnation, now}: MembershipOptions) {
		this.node = self.node;
		this.domain = self.domain;
		this.evidence = new ConnectivityEvidence(self.domain, now);
		this.#self = self;
		this.#incarnation = incarnation;
		this.#mergeMember(this.createSelfRecord(), now);
		this.#hasUrgentUpdates = false;
		this.#events = [];
	}

	get self(): SelfDescription {
		return this.#self;
	}

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Returns and clears the events that the caller has to handle. */
	takeEvents(): MembershipEvent[] {
		const events = this.#events;
		this.#events = [];
		return events;
	}

	/** Tells whether there are updates to send at once, and resets the flag. */
	takeUrgentFlag(): boolean {
		const isUrgent = this.#hasUrgentUpdates;
		this.#hasUrgentUpdates = false;
		return isUrgent;
	}

	/** Adds an event for the caller to handle. */
	addEvent(event: MembershipEvent): void {
		this.#events.push(event);
	}

	/** Applies a configuration, and spreads its revision at once. */
	setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
		this.#self = {...this.#self, revision: configuration.revision};
		this.#hasUrgentUpdates = true;
	}

	/** Sets the node's self-description, and spreads its rarely changing part if that changed. */
	describeSelf(description: SelfDescription, now: number): void {
		const before = toMemberDescription(this.#self);
		this.#self = {...description, revision: this.#configuration.revision};
		if (!isDeepStrictEqual(before, toMemberDescription(description))) {
			this.#announceSelf(now);
		}
	}

	/** Announces that the node leaves. */
	leave(now: number): void {
		this.#hasLeft = true;
		this.#self = {...this.#self, leaving: true};
		this.#announceSelf(now);
	}

	/** Creates the current record of this node. */
	createSelfRecord(): MemberRecord {
		return {
			description: toMemberDescription(this.#self), incarnation: this.#incarnation, version: this.#version, state: this.#hasLeft ? 'left' : 'alive',
		};
	}

	/** Queues a pulse with the node's level and revision if they changed enough and the minimum interval has passed. */
	pulse(now: number): void {
		const {level, revision} = this.#self;
		const interval = Math.max(minimumPulseIntervalMilliseconds, this.table.present(this.domain).length * pulseIntervalMillisecondsPerMember);
		const last = this.#lastPulse;
		if (last !== undefined && (now - last.at < interval || (last.revision === revision && !hasChangedSignificantly(last.level, level)))) {
			return;
		}

		this.#pulseSequence++;
		this.#lastPulse = {revision, at: now, ...(level !== undefined && {level})};
		const pulse = {
			node: this.node, incarnation: this.#incarnation, sequence: this.#pulseSequence, revision, ...(level !== undefined && {level}),
		};
		this.table.mergePulse(pulse);
		this.#queue.add({kind: 'pulse', pulse}, now);
	}

	/** Sets a member's state as this node sees it, and spreads it. */
	setMemberState(record: MemberRecord, state: MemberRecord['state'], now: number): void {
		this.#mergeMember({...record, state}, now);
	}

	/** Adds keys to the set of withdrawn keys. */
	withdraw(keys: readonly KeyId[], now: number): void {
		const added = keys.filter(key => !this.withdrawn.has(key));
		if (added.length === 0) {
			return;
		}

		for (const key of added) {
			this.withdrawn.add(key);
		}

		this.#queue.add({kind: 'withdrawn', keys: added}, now);
		this.#events.push({kind: 'keys-withdrawn', keys: added});
		this.#hasUrgentUpdates = true;
	}

	/** Merges a notice of a leased role and spreads it if it is new. */
	mergeLease(lease: LeaseNotice, now: number): void {
		if (!this.leases.merge(lease)) {
			return;
		}

		this.#queue.add({kind: 'lease', lease}, now);
		this.#hasUrgentUpdates = true;
		if (lease.role === 'holder') {
			this.#events.push({kind: 'holders-changed'});
		}
	}

	/** Merges the updates received from a peer. */
	mergeUpdates(updates: readonly GossipUpdate[], now: number): void {
		for (const update of updates) {
			this.#mergeUpdate(update, now);
		}
	}

	/** Creates the envelope of a message to `address`. */
	createEnvelope(address: string, kind: Body['kind'], now: number): Envelope {
		const quorumAge = this.evidence.quorumAge(now);
		return {
			sender: this.node,
			domain: this.domain,
			revision: this.#configuration.revision,
			...(quorumAge !== undefined && {quorumAgeMilliseconds: quorumAge}),
			domains: this.#createDigests(now),
			withdrawnCount: this.withdrawn.size,
			rumors: this.#selectUpdates(kind, address, now),
		};
	}

	/** Returns the record of the member that listens at an address, if known. */
	findRecordByAddress(address: string): MemberRecord | undefined {
		const node = this.#nodeByAddress.get(address);
		return node === undefined ? undefined : this.table.get(node);
	}

	/** Returns the targets of present members in reachable domains; those of leaving members are marked as unavailable. */
	targets(now: number): Target[] {
		const targets: Target[] = [];
		for (const {description, state} of this.table.records()) {
			const {target, domain, leaving} = description;
			if (target !== undefined && isPresent(state) && this.evidence.isReachable(domain, now)) {
				targets.push(leaving ? {...target, available: false} : target);
			}
		}

		return targets;
	}

	#selectUpdates(kind: Body['kind'], address: string, now: number): GossipUpdate[] {
		if (kind === 'state') {
			return this.#createFullState();
		}

		const updates = this.#takeQueuedUpdates(address, now);
		return kind === 'synchronize' ? [{kind: 'member', record: this.createSelfRecord()}, ...updates] : updates;
	}

	#takeQueuedUpdates(address: string, now: number): GossipUpdate[] {
		const receiver = this.findRecordByAddress(address);
		const isInSameDomain = receiver?.description.domain === this.domain;
		const updates = this.#queue.take(this.table.present(this.domain).length, isInSameDomain, now);
		if (receiver !== undefined && receiver.state !== 'alive') {
			// A receiver that counts as suspect or dead here is sent its own record, so that it can refute it.
			updates.unshift({kind: 'member', record: receiver});
		}

		return updates;
	}

	#createFullState(): GossipUpdate[] {
		const updates: GossipUpdate[] = [];
		for (const record of this.table.records()) {
			updates.push({kind: 'member', record});
		}

		for (const lease of this.leases.all()) {
			updates.push({kind: 'lease', lease});
		}

		updates.push({kind: 'withdrawn', keys: [...this.withdrawn]});
		return updates;
	}

	#createDigests(now: number): DomainDigest[] {
		const digests: DomainDigest[] = [];
		for (const domain of this.table.domains()) {
			const age = this.evidence.domainAge(domain, now);
			digests.push({domain, digest: this.table.digest(domain), ...(age !== undefined && {ageMilliseconds: age})});
		}

		return digests;
	}

	#mergeUpdate(update: GossipUpdate, now: number): void {
		switch (update.kind) {
			case 'member': {
				this.#mergeUsableMember(update.record, now);
				return;
			}

			case 'pulse': {
				if (this.table.mergePulse(update.pulse)) {
					this.#queue.add(update, now);
				}

				return;
			}

			case 'lease': {
				this.mergeLease(update.lease, now);
				return;
			}

			case 'withdrawn': {
				this.withdraw(update.keys, now);
				return;
			}

			default: {
				throw new UnreachableError(update);
			}
		}
	}

	/** Merges a received record, unless its target is one that no node could use. */
	#mergeUsableMember(record: MemberRecord, now: number): void {
		const {node, target} = record.description;
		if (target !== undefined && !isUsableTarget(target)) {
			this.#events.push({kind: 'target-rejected', node});
			return;
		}

		this.#mergeReceivedMember(record, now);
	}

	/** Merges a received record. A record of this node that supersedes its own, such as a suspicion, is refuted by a newer version. */
	#mergeReceivedMember(record: MemberRecord, now: number): void {
		if (record.description.node !== this.node) {
			this.#mergeMember(record, now);
			return;
		}

		const isEarlierRun = record.incarnation < this.#incarnation;
		const isKnownOwnRecord = record.incarnation === this.#incarnation && (record.version < this.#version || isDeepStrictEqual(record, this.createSelfRecord()));
		if (isEarlierRun || isKnownOwnRecord) {
			return;
		}

		this.#incarnation = record.incarnation;
		this.#version = record.version;
		this.#announceSelf(now);
	}

	#announceSelf(now: number): void {
		this.#version++;
		this.#mergeMember(this.createSelfRecord(), now);
	}

	#mergeMember(record: MemberRecord, now: number): void {
		const {node, rpcAddress} = record.description;
		const before = this.table.get(node);
		if (!this.table.merge(record, now)) {
			return;
		}

		this.#nodeByAddress.set(rpcAddress, node);
		this.#queue.add({kind: 'member', record}, now);
		this.#hasUrgentUpdates = true;
		this.#events.push({kind: 'members-changed'});
		const wasPresent = before !== undefined && isPresent(before.state);
		if (wasPresent !== isPresent(record.state) || !isDeepStrictEqual(before?.description, record.description)) {
			this.#events.push({kind: 'targets-changed'});
		}

		if (domainRoles.some(role => this.leases.get(role, record.description.domain)?.holder === node)) {
			this.#events.push({kind: 'holders-changed'});
		}
	}
}

/** Returns the rarely changing part of a self-description. */
function toMemberDescription(self: SelfDescription): MemberDescription {
	const {level: _level, revision: _revision, ...description} = self;
	return description;
}

/** Share of a gate's limit by which the limit or the load has to change before a pulse announces it. */
const significantChangeShare = 0.25;

/** Tells whether a level changed enough to be announced. */
function hasChangedSignificantly(before: GateLevel | undefined, after: GateLevel | undefined): boolean {
	if (before === undefined || after === undefined) {
		return before !== after;
	}

	const loadBefore = before.inFlight + before.queueLength;
	const loadAfter = after.inFlight + after.queueLength;
	return before.shedPriority !== after.shedPriority
		|| Math.abs(before.limit - after.limit) > significantChangeShare * before.limit
		|| Math.abs(loadBefore - loadAfter) > significantChangeShare * after.limit;
}
