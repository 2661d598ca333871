/**
Counts the requests of each team since the node started.
*/

import type {ProblemCode, TeamName} from '@fireflyglade/model';
import type {TeamRequestCounts} from '@fireflyglade/transport';

type Counts = {
	offered: number;
	succeeded: number;
	failed: number;
	refusedByRate: number;
	refusedByLoad: number;
};

/** Problems that count as `refusedByLoad`, as the system lacked the capacity to serve the request. */
const loadProblems: ReadonlySet<ProblemCode> = new Set(['overloaded', 'queue-timeout', 'draining', 'no-upstream', 'deadline-exceeded', 'cut-off', 'no-quorum']);
const firstFailureStatus = 500;

/** How a request of a team ended. */
export type TeamRequestEnd =
	| {readonly kind: 'answered'; readonly status: number; readonly whole: boolean}
	| {readonly kind: 'problem'; readonly code: ProblemCode};

/** Counts requests by team. */
export class TeamCounters {
	readonly #counts = new Map<TeamName, Counts>();

	/** Counts a finished request. */
	record(team: TeamName, end: TeamRequestEnd): void {
		const counts = this.#countsOf(team);
		counts.offered += 1;
		if (end.kind === 'answered') {
			counts[end.whole && end.status < firstFailureStatus ? 'succeeded' : 'failed'] += 1;
			return;
		}

		if (end.code === 'rate-exceeded') {
			counts.refusedByRate += 1;
			return;
		}

		counts[loadProblems.has(end.code) ? 'refusedByLoad' : 'failed'] += 1;
	}

	/** Returns the counts of every team that has made a request. */
	snapshot(): TeamRequestCounts[] {
		return [...this.#counts].map(([team, counts]) => ({team, ...counts}));
	}

	#countsOf(team: TeamName): Counts {
		let counts = this.#counts.get(team);
		if (counts === undefined) {
			counts = {
				offered: 0, succeeded: 0, failed: 0, refusedByRate: 0, refusedByLoad: 0,
			};
			this.#counts.set(team, counts);
		}

		return counts;
	}
}
