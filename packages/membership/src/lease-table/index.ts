/**
The known lease holders of the leased roles in all failure domains.
*/

import type {FailureDomain, FencingNumber} from '@fireflyglade/model';
import type {LeaseNotice} from '../_lib/messages.js';
import type {DomainRole} from '../types.js';

/** Keeps the latest notice of each lease; the higher fencing number wins, then the higher revision. */
export class LeaseTable {
	readonly #notices = new Map<string, LeaseNotice>();

	/** Merges a notice; returns true if it superseded the known one. */
	merge(notice: LeaseNotice): boolean {
		const subject = `${notice.role} ${notice.domain}`;
		const known = this.#notices.get(subject);
		if (known !== undefined && !supersedes(notice, known)) {
			return false;
		}

		this.#notices.set(subject, notice);
		return true;
	}

	get(role: DomainRole, domain: FailureDomain): LeaseNotice | undefined {
		return this.#notices.get(`${role} ${domain}`);
	}

	highestFencing(role: DomainRole, domain: FailureDomain): FencingNumber {
		return this.get(role, domain)?.fencing ?? (0 as FencingNumber);
	}

	all(): Iterable<LeaseNotice> {
		return this.#notices.values();
	}
}

function supersedes(notice: LeaseNotice, known: LeaseNotice): boolean {
	if (notice.fencing !== known.fencing) {
		return notice.fencing > known.fencing;
	}

	return notice.holder === known.holder && notice.revision > known.revision;
}
