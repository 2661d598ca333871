/**
The RPC addresses of the members.

The settings name the members of the first start. A member that joins later
introduces itself to those that it knows; members tell each other all that they
know every few seconds, so that the addresses survive restarts one after
another.
*/

import type {Clock, MemberId, Timer} from '@fireflyglade/model';
import type {RpcClient} from '@fireflyglade/transport';
import {introduceMethod, type IntroduceMessage} from '../_lib/control-rpc.js';

/** What the directory needs. */
export type MemberDirectoryOptions = {
	readonly member: MemberId;
	/** Addresses from the settings; the caller may add to them. */
	readonly addresses: Map<MemberId, string>;
	/** Addresses at which members may be found whose ids aren't known. */
	readonly seeds?: readonly string[];
	/** Milliseconds between two introductions. */
	readonly introductionIntervalMilliseconds?: number;
	readonly client: RpcClient;
	readonly clock: Clock;
};

const defaultIntroductionIntervalMilliseconds = 2000;
const firstIntroductionDelayMilliseconds = 50;
const introductionTimeoutMilliseconds = 1000;

/** The RPC addresses of the members. */
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

	/** Sets this process's own address and starts to introduce it. */
	start(ownAddress: string): void {
		this.#options.addresses.set(this.#options.member, ownAddress);
		this.#scheduleIntroduction(firstIntroductionDelayMilliseconds);
	}

	/** Takes what another member knows, and tells what is known here. */
	exchange(message: IntroduceMessage): IntroduceMessage {
		for (const [member, address] of message.addresses) {
			if (member !== this.#options.member) {
				this.#options.addresses.set(member, address);
				this.#lastContactAt.set(member, this.#options.clock.now());
			}
		}

		return {addresses: this.#options.addresses};
	}

	/** Monotonic milliseconds at which a member last introduced itself here; undefined if never. */
	lastContactAt(member: MemberId): number | undefined {
		return member === this.#options.member ? this.#options.clock.now() : this.#lastContactAt.get(member);
	}

	/** Addresses of the others. */
	otherAddresses(): readonly string[] {
		return [...this.#options.addresses].filter(([member]) => member !== this.#options.member).map(([, address]) => address);
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	/** Takes over other addresses at which members may be found. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
	}

	/** Forgets a member that is gone for good. */
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

	/** Tells the others this process's own address; each member speaks for itself alone. */
	#introduceToAll(): void {
		const own = this.#options.addresses.get(this.#options.member)!;
		const message: IntroduceMessage = {addresses: new Map([[this.#options.member, own]])};
		for (const address of new Set([...this.otherAddresses(), ...this.#seeds])) {
			if (address === own) {
				continue;
			}

			void this.#introduceTo(address, message);
		}
	}

	async #introduceTo(address: string, message: IntroduceMessage): Promise<void> {
		try {
			const answer = await this.#options.client.call(introduceMethod, address, message, {timeoutMilliseconds: introductionTimeoutMilliseconds});
			this.#addUnknownMembers(answer);
		} catch {
			// The next introduction follows.
		}
	}

	/** What a member says of a third one counts only while nothing else is known of it. */
	#addUnknownMembers(answer: IntroduceMessage): void {
		for (const [member, address] of answer.addresses) {
			if (!this.#options.addresses.has(member)) {
				this.#options.addresses.set(member, address);
			}
		}
	}
}
