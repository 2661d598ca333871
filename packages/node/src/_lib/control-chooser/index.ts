/**
Chooses the control process that a node reports to.

A report crosses no boundary of a failure domain while a control process of the node's
own domain answers. The domain of a control process is known from its answers, so a
node tries those of unknown domain once each. After a failure, the next choice is in
another domain, as a cut or a stopped VM often affects the whole domain; the own
domain is tried again after a while. Each failure in a row doubles that time: the addresses
include VMs that are gone for good, and a report to one of these waits for its timeout,
during which nobody confirms the node's configuration.
*/

import type {FailureDomain} from '@fireflyglade/model';

/** Time after a first failure during which an address is chosen only if all others have failed too. */
const failureMemoryMilliseconds = 5000;
const maximumFailureMemoryMilliseconds = 60_000;

type Failure = {
	readonly at: number;
	/** Milliseconds for which the failure is remembered. */
	readonly memory: number;
};

/** Chooses among the control processes. */
export class ControlChooser {
	readonly #domain: FailureDomain;
	/** Position in the list of addresses at which the search begins, so that nodes spread over the control processes. */
	readonly #offset: number;
	readonly #domainByAddress = new Map<string, FailureDomain | undefined>();
	readonly #failures = new Map<string, Failure>();
	#current: string | undefined;

	/** @param offset - A number that differs between nodes. */
	constructor(domain: FailureDomain, offset: number) {
		this.#domain = domain;
		this.#offset = offset;
	}

	/** Returns the address for the next report; `addresses` must not be empty. */
	choose(addresses: readonly string[], now: number): string {
		const start = this.#offset % addresses.length;
		const rotated = [...addresses.slice(start), ...addresses.slice(0, start)];
		const working = rotated.filter(address => !this.#hasFailed(address, now));
		const isKept = this.#current !== undefined && working.includes(this.#current);
		const isSettled = isKept && this.#domainByAddress.get(this.#current!) === this.#domain;
		if (isSettled) {
			return this.#current!;
		}

		this.#current = this.#findPreferred(rotated, working, now) ?? (isKept ? this.#current : this.#findSubstitute(working)) ?? this.#findLongestFailed(rotated);
		return this.#current;
	}

	/** Records that the process at an address answered; the domain is absent if the process doesn't know it. */
	recordAnswer(address: string, domain: FailureDomain | undefined): void {
		this.#domainByAddress.set(address, domain);
		this.#failures.delete(address);
	}

	/** Records that the process at an address did not answer, or could not confirm its answer. */
	recordFailure(address: string, now: number): void {
		const previous = this.#failures.get(address);
		const memory = previous === undefined ? failureMemoryMilliseconds : Math.min(previous.memory * 2, maximumFailureMemoryMilliseconds);
		this.#failures.set(address, {at: now, memory});
	}

	/** Returns a working address of the own domain, or else one of unknown domain. Returns none while a process of the own domain has failed recently. */
	#findPreferred(rotated: readonly string[], working: readonly string[], now: number): string | undefined {
		if (rotated.some(address => this.#domainByAddress.get(address) === this.#domain && this.#hasFailed(address, now))) {
			return undefined;
		}

		return working.find(address => this.#domainByAddress.get(address) === this.#domain) ?? working.find(address => !this.#domainByAddress.has(address));
	}

	#findSubstitute(working: readonly string[]): string | undefined {
		return working.find(address => this.#domainByAddress.get(address) !== this.#domain) ?? working[0];
	}

	#findLongestFailed(rotated: readonly string[]): string {
		let longest = rotated[0]!;
		for (const address of rotated) {
			if (this.#failures.get(address)!.at < this.#failures.get(longest)!.at) {
				longest = address;
			}
		}

		return longest;
	}

	#hasFailed(address: string, now: number): boolean {
		const failure = this.#failures.get(address);
		return failure !== undefined && now - failure.at < failure.memory;
	}
}
