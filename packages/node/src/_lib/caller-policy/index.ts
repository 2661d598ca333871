/**
The policy of the callers' listener: the team comes from the caller's key, the
retries from the route, and the priority from team and route. The deadline follows
from the shorter of the caller's timeout and the route's.

Where the interface states that open calls are nested, a request on an open route is
taken as a call of the upstream. Its priority and depth follow from the running requests.
*/

import type {IncomingMessage} from 'node:http';
import {
	highestPriority, lowestRoutePriority, maximumCallDepth,
	type Configuration, type Problem, type Route, type Team, type TeamName,
} from '@fireflyglade/model';
import {productCallInterface, type CallInterface} from '../../call-interface/index.js';
import type {Fleet} from '../../types.js';
import type {CallPolicy, CallTerms} from '../call-policy.js';
import {checkCutOff, identifyCaller} from '../caller-identity/index.js';
import type {CallTable} from '../call-table/index.js';
import {KeyTable} from '../key-table/index.js';

const staleKeysRetryMilliseconds = 500;
const staleKeysProblem: Problem = {
	code: 'cut-off', outcome: 'not-run', detail: 'no quorum has confirmed the keys lately', retryAfterMilliseconds: staleKeysRetryMilliseconds,
};

/** Decides about callers' requests. */
export class CallerPolicy implements CallPolicy {
	readonly #fleet: Fleet;
	readonly #interface: CallInterface;
	readonly #calls: CallTable | undefined;
	#keys: KeyTable;
	#teams: ReadonlyMap<TeamName, Team> = new Map();

	/** @param calls - The requests that run at the gate; needed if the upstream's calls arrive at this listener too. */
	constructor(fleet: Fleet, callInterface: CallInterface = productCallInterface, calls?: CallTable) {
		this.#calls = calls;
		this.#fleet = fleet;
		this.#interface = callInterface;
		this.#keys = this.#createKeys(fleet.configuration());
		this.#teams = fleet.configuration().teams;
	}

	get side(): 'caller' {
		return 'caller';
	}

	setConfiguration(configuration: Configuration): void {
		this.#keys = this.#createKeys(configuration);
		this.#teams = configuration.teams;
	}

	decide(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms {
		const identity = identifyCaller(request, route, this.#keys, this.#interface);
		if (identity.kind === 'refused') {
			return identity;
		}

		const cutOff = checkCutOff(route, this.#fleet.connectivity(), now);
		if (cutOff !== undefined) {
			return {kind: 'refused', problem: cutOff};
		}

		if (identity.kind === 'team' && !this.#fleet.areKeysFresh()) {
			return {kind: 'refused', problem: staleKeysProblem};
		}

		const {traceparent} = request.headers;
		if (identity.kind === 'open' && this.#interface.areOpenCallsNested) {
			return this.#createDownstreamTerms(request, route, timeoutMilliseconds, now);
		}

		const team = identity.kind === 'team' ? this.#teams.get(identity.team) : undefined;
		return {
			kind: 'granted',
			...(identity.kind === 'team' ? {team: identity.team} : {}),
			...(identity.secret === undefined ? {} : {secret: identity.secret}),
			priority: combinePriorities(team, route),
			deadline: now + timeoutMilliseconds,
			attempts: route.retryLimit + 1,
			depth: 0,
			...(typeof traceparent === 'string' ? {traceparent} : {}),
			isCharged: team !== undefined && team.isUnlimited !== true,
		};
	}

	/**
	The terms of a call that the upstream made at this listener. It inherits the priority
	of the request that it probably belongs to, and its depth puts it before new work of
	that priority. A call that matches no request gets the priority of the least
	important running request, so that it never displaces more important work, or the
	highest priority if no request runs.
	*/
	#createDownstreamTerms(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms {
		const {traceparent} = request.headers;
		const statedTimeout = Number(request.headers[this.#interface.timeoutField]);
		const statedDeadline = Number.isFinite(statedTimeout) ? now + statedTimeout : undefined;
		const parent = statedDeadline === undefined ? undefined : this.#calls?.findByDeadline(statedDeadline);
		return {
			kind: 'granted',
			...(parent === undefined ? {} : {rootId: parent.context.rootId}),
			priority: parent?.context.priority ?? this.#calls?.lowestRunningPriority() ?? highestPriority,
			deadline: now + timeoutMilliseconds,
			attempts: route.retryLimit + 1,
			depth: Math.min(maximumCallDepth, (parent?.context.depth ?? 0) + 1),
			progress: parent?.countCall() ?? 0,
			repeatProbability: this.#calls?.estimateRepeatProbability(statedDeadline) ?? 0,
			...(typeof traceparent === 'string' ? {traceparent} : {}),
			isCharged: false,
		};
	}

	#createKeys(configuration: Configuration): KeyTable {
		return new KeyTable(configuration, id => this.#fleet.isKeyWithdrawn(id));
	}
}

/** Combines the priorities of team and route. The team's priority decides first; that of the route orders requests of teams with equal priority. */
export function combinePriorities(team: Team | undefined, route: Route): number {
	const teamPriority = Math.min(lowestRoutePriority, team?.priority ?? route.priority);
	return (teamPriority * (lowestRoutePriority + 1)) + Math.min(lowestRoutePriority, route.priority);
}
