/**
Evaluates rate limiting decisions independently of the limiter: it checks the
admissions of every time window against the team's rate and burst, and compares
their number with that of an ideal token bucket for the whole fleet that decides
without delay.
*/

import {millisecondsInSecond, type Team, type TeamName} from '@fireflyglade/model';

/** One decision, timestamped by the clock of the bench process. */
export type Decision = {
	readonly team: Team;
	readonly node: number;
	readonly at: number;
	readonly isAdmitted: boolean;
	/** Milliseconds from the request to the decision. */
	readonly latency: number;
};

/** The evaluation of a list of decisions. */
export type DecisionEvaluation = {
	readonly offered: number;
	readonly admitted: number;
	/** The largest ratio, over all teams and time windows, of admitted requests to the number that the window allows; above 1 the rate was exceeded. */
	readonly admittedOverAllowed: number;
	/** Number of requests by which the teams got fewer admissions than from an ideal token bucket for the whole fleet. */
	readonly wrongfulRefusals: number;
	/** Wrongful refusals as a share of the requests offered. */
	readonly wrongfulShare: number;
	/** The team with the largest share of its own requests wrongfully refused. */
	readonly worstTeam: {readonly team: TeamName | undefined; readonly wrongfulShare: number};
};

/** Evaluates decisions for any number of teams. */
export function evaluateDecisions(decisions: readonly Decision[]): DecisionEvaluation {
	const byTeam = new Map<Team, Decision[]>();
	for (const decision of decisions) {
		const list = byTeam.get(decision.team) ?? [];
		list.push(decision);
		byTeam.set(decision.team, list);
	}

	let admittedOverAllowed = 0;
	let wrongfulRefusals = 0;
	let worstTeam: DecisionEvaluation['worstTeam'] = {team: undefined, wrongfulShare: 0};
	for (const [team, list] of byTeam) {
		list.sort((first, second) => first.at - second.at);
		admittedOverAllowed = Math.max(admittedOverAllowed, largestAllowedRatio(team, list));
		const wrongful = Math.max(0, countIdealAdmissions(team, list) - list.filter(({isAdmitted}) => isAdmitted).length);
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

/** Returns the largest ratio of admissions to `burst + rate × length`, over all windows from one admission to another. */
function largestAllowedRatio(team: Team, decisions: readonly Decision[]): number {
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

/** Counts the requests that an ideal token bucket for the whole fleet would have admitted at the time of each request. */
function countIdealAdmissions(team: Team, decisions: readonly Decision[]): number {
	let level = team.burst;
	let refilledAt = decisions[0]?.at ?? 0;
	let admitted = 0;
	for (const {at, latency} of decisions) {
		const requestedAt = Math.max(refilledAt, at - latency);
		level = Math.min(team.burst, level + ((requestedAt - refilledAt) * team.ratePerSecond / millisecondsInSecond));
		refilledAt = requestedAt;
		if (level >= 1) {
			level--;
			admitted++;
		}
	}

	return admitted;
}
