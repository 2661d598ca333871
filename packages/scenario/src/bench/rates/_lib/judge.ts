/**
An independent judgement of what was admitted and refused: the count of each
window, and how many requests fewer were admitted than one bucket for the whole
fleet, asked without delay, would have admitted.
*/

import {millisecondsInSecond, type Team, type TeamName} from '@fireflyglade/model';

/** One decision, by the one clock of the bench process. */
export type Decision = {
	readonly team: Team;
	readonly node: number;
	readonly at: number;
	readonly isAdmitted: boolean;
	/** Milliseconds from the request to the decision. */
	readonly latency: number;
};

/** What was found. */
export type Judgement = {
	readonly offered: number;
	readonly admitted: number;
	/** The largest share of what any window allows that a team got in it. */
	readonly admittedOverAllowed: number;
	/** Requests that the team got fewer than by one bucket for the whole fleet. */
	readonly wrongfulRefusals: number;
	/** Wrongful refusals over requests offered. */
	readonly wrongfulShare: number;
	/** The team with the largest share of its own requests refused wrongly. */
	readonly worstTeam: {readonly team: TeamName | undefined; readonly wrongfulShare: number};
};

/** Judges decisions of any number of teams. */
export function judge(decisions: readonly Decision[]): Judgement {
	const byTeam = new Map<Team, Decision[]>();
	for (const decision of decisions) {
		const list = byTeam.get(decision.team) ?? [];
		list.push(decision);
		byTeam.set(decision.team, list);
	}

	let admittedOverAllowed = 0;
	let wrongfulRefusals = 0;
	let worstTeam: Judgement['worstTeam'] = {team: undefined, wrongfulShare: 0};
	for (const [team, list] of byTeam) {
		list.sort((first, second) => first.at - second.at);
		admittedOverAllowed = Math.max(admittedOverAllowed, largestShare(team, list));
		const wrongful = Math.max(0, countIdeal(team, list) - list.filter(({isAdmitted}) => isAdmitted).length);
		wrongfulRefusals += wrongful;
		if (wrongful / list.length > worstTeam.wrongfulShare) {
			worstTeam = {team: team.name, wrongfulShare: wrongful / list.length};
		}
	}

	const admitted = decisions.filter(({isAdmitted}) => isAdmitted).length;
	return {
		offered: decisions.length, admitted, admittedOverAllowed, wrongfulRefusals, wrongfulShare: wrongfulRefusals / Math.max(1, decisions.length), worstTeam,
	};
}

/** The largest count over burst plus rate times length, over all windows from one admission to another. */
function largestShare(team: Team, decisions: readonly Decision[]): number {
	const times = decisions.filter(({isAdmitted}) => isAdmitted).map(({at}) => at);
	let largest = 0;
	for (const [first, from] of times.entries()) {
		for (let last = first; last < times.length; last++) {
			const allowed = team.burst + (team.ratePerSecond * (times[last]! - from) / millisecondsInSecond);
			largest = Math.max(largest, (last - first + 1) / allowed);
		}
	}

	return largest;
}

/** How many requests one bucket for the whole fleet would have admitted. */
function countIdeal(team: Team, decisions: readonly Decision[]): number {
	let level = team.burst;
	let refilledAt = decisions[0]?.at ?? 0;
	let admitted = 0;
	for (const {at, latency} of decisions) {
		const asked = Math.max(refilledAt, at - latency);
		level = Math.min(team.burst, level + ((asked - refilledAt) * team.ratePerSecond / millisecondsInSecond));
		refilledAt = asked;
		if (level >= 1) {
			level--;
			admitted++;
		}
	}

	return admitted;
}
