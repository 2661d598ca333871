/**
Counts admitted requests by simulated time, independently of the rate limiter
under test, and checks them against the teams' limits.
*/

import {
	millisecondsInSecond, type RequestId, type Team, type TeamName,
} from '@fireflyglade/model';

/** A window in which a team spent more tokens than its limit allows. */
export type Excess = {
	readonly team: TeamName;
	readonly from: number;
	readonly to: number;
	readonly spent: number;
	readonly allowed: number;
};

type Limit = {
	readonly rate: number;
	readonly burst: number;
	readonly from: number;
	/** Time at which the last node stopped applying the limit. */
	until: number;
};

/** Tolerance for floating-point rounding. */
const roundingToleranceTokens = 1e-6;

/** Counts the tokens that each team spends and compares them with its limits in every window. */
export class SpendCounter {
	readonly #spent = new Map<TeamName, Map<RequestId, number>>();
	readonly #limits = new Map<TeamName, Limit[]>();

	/** Sets a team's limit from `at` on; earlier limits are also allowed until `earlierUntil`, as nodes apply a change late. */
	limit(team: Team, at: number, earlierUntil: number): void {
		const limits = this.#limits.get(team.name) ?? [];
		for (const limit of limits) {
			limit.until = Math.min(limit.until, earlierUntil);
		}

		limits.push({
			rate: team.ratePerSecond, burst: team.burst, from: at, until: Number.POSITIVE_INFINITY,
		});
		this.#limits.set(team.name, limits);
	}

	spend(team: TeamName, request: RequestId, at: number): void {
		const spent = this.#spent.get(team) ?? new Map<RequestId, number>();
		spent.set(request, at);
		this.#spent.set(team, spent);
	}

	refund(team: TeamName, request: RequestId): void {
		this.#spent.get(team)?.delete(request);
	}

	total(team: TeamName): number {
		return this.#spent.get(team)?.size ?? 0;
	}

	/** Finds a window in which a team spent more than the highest burst that applies in it plus the highest rate times its length. */
	findExcess(): Excess | undefined {
		for (const [team, spent] of this.#spent) {
			const times = [...spent.values()].toSorted((first, second) => first - second);
			for (const [first, from] of times.entries()) {
				for (let last = first; last < times.length; last++) {
					const to = times[last]!;
					const allowed = this.#allowed(team, from, to);
					if (last - first + 1 > allowed + roundingToleranceTokens) {
						return {
							team, from, to, spent: last - first + 1, allowed,
						};
					}
				}
			}
		}

		return undefined;
	}

	#allowed(team: TeamName, from: number, to: number): number {
		let rate = 0;
		let burst = 0;
		for (const limit of this.#limits.get(team) ?? []) {
			if (limit.from <= to && limit.until >= from) {
				rate = Math.max(rate, limit.rate);
				burst = Math.max(burst, limit.burst);
			}
		}

		return burst + (rate * (to - from) / millisecondsInSecond);
	}
}
