/**
Keeps the RPC addresses of the members.

The settings contain the addresses of the initial members. Each member introduces
itself periodically to the members that it knows and learns the addresses that
these know, so that members that joined later are still found after all members
have been restarted one by one.
*/

import {createHash} from 'node:crypto';
import type {Clock, MemberId, Timer} from '@fireflyglade/model';
import type {RpcClient} from '@fireflyglade/transport';
import {introduceMethod, type IntroduceMessage, type IntroduceRequest} from '../_lib/control-rpc.js';

/** Dependencies and settings of the member directory. */
export type MemberDirectoryOptions = {
	readonly member: MemberId;
	/** Addresses by member, from the settings. The directory modifies the map, and the caller may add to it. */
	readonly addresses: Map<MemberId, string>;
	/** Addresses of members whose ids are not known. */
	readonly seeds?: readonly string[];
	/** Interval between two introductions. */
	readonly introductionIntervalMilliseconds?: number;
	readonly client: RpcClient;
	readonly clock: Clock;
};

const defaultIntroductionIntervalMilliseconds = 2000;
const firstIntroductionDelayMilliseconds = 50;
const introductionTimeoutMilliseconds = 1000;
/** 72 bits, so that different addresses practically never have the same digest. */
const digestCharacters = 12;

/** The RPC addresses of the members, with the times of their last introductions. */
export class MemberDirectory {
	readonly #options: MemberDirectoryOptions;
	readonly #lastContactAt = new Map<MemberId, number>();
	#timer: Timer | undefined;
	#isClosed = false;
	#seeds: readonly string[];

	constructor(options: MemberDirectoryOptions) {
		this.#options = options;
		this.#seeds = options.seeds ?? [];
	}

	/** Addresses by member. */
	get addresses(): ReadonlyMap<MemberId, string> {
		return this.#options.addresses;
	}

	/** Sets the address of this process and starts the periodic introductions. */
	start(ownAddress: string): void {
		this.#options.addresses.set(this.#options.member, ownAddress);
		this.#scheduleIntroduction(firstIntroductionDelayMilliseconds);
	}

	/** Stores the addresses that another member sent and the time of contact, and returns all known addresses, or none if the other member knows the same ones. */
	exchange(message: IntroduceRequest): IntroduceMessage {
		for (const [member, address] of message.addresses) {
			if (member !== this.#options.member) {
				this.#options.addresses.set(member, address);
				this.#lastContactAt.set(member, this.#options.clock.now());
			}
		}

		return {addresses: message.knownDigest === digestAddresses(this.#options.addresses) ? new Map() : this.#options.addresses};
	}

	/** Time of a member's last introduction to this process in monotonic milliseconds; `undefined` if there was none. */
	lastContactAt(member: MemberId): number | undefined {
		return member === this.#options.member ? this.#options.clock.now() : this.#lastContactAt.get(member);
	}

	/** Addresses of the other members. */
	otherAddresses(): readonly string[] {
		return [...this.#options.addresses].filter(([member]) => member !== this.#options.member).map(([, address]) => address);
	}

	/** Stops the periodic introductions. */
	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	/** Replaces the addresses of members whose ids are not known. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
	}

	/** Removes the address and the contact time of a member. */
	forget(member: MemberId): void {
		this.#options.addresses.delete(member);
		this.#lastContactAt.delete(member);
	}

	#scheduleIntroduction(delay: number): void {
		if (this.#isClosed) {
			return;
		}

		this.#timer = this.#options.clock.startTimer(delay, () => {
			this.#introduceToAll();
			this.#scheduleIntroduction(this.#options.introductionIntervalMilliseconds ?? defaultIntroductionIntervalMilliseconds);
		});
	}

	/** Sends the address of this process to the other members and the seeds. Addresses of third members are not sent, as they may be outdated. */
	#introduceToAll(): void {
		const ownAddress = this.#options.addresses.get(this.#options.member)!;
		const message: IntroduceRequest = {addresses: new Map([[this.#options.member, ownAddress]]), knownDigest: digestAddresses(this.#options.addresses)};
		for (const address of new Set([...this.otherAddresses(), ...this.#seeds])) {
			if (address === ownAddress) {
				continue;
			}

			void this.#introduceTo(address, message);
		}
	}

	async #introduceTo(address: string, message: IntroduceRequest): Promise<void> {
		try {
			const answer = await this.#options.client.call(introduceMethod, address, message, {timeoutMilliseconds: introductionTimeoutMilliseconds});
			this.#addUnknownMembers(answer);
		} catch {
			// The next periodic introduction retries.
		}
	}

	/** Adds addresses of unknown members. Known addresses are kept, since a third member's copy may be outdated. */
	#addUnknownMembers(answer: IntroduceMessage): void {
		for (const [member, address] of answer.addresses) {
			if (!this.#options.addresses.has(member)) {
				this.#options.addresses.set(member, address);
			}
		}
	}
}

function digestAddresses(addresses: ReadonlyMap<MemberId, string>): string {
	const lines = [...addresses].map(([member, address]) => `${member} ${address}`).sort();
	return createHash('sha256').update(lines.join('\n')).digest('base64url').slice(0, digestCharacters);
}
