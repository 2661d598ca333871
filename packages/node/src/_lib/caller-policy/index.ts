/**
The terms of callers' requests: the team comes from the key, everything else from
the route.
*/

import type {IncomingMessage} from 'node:http';
import {
	highestPriority,
	type Configuration, type Problem, type Route, type Team, type TeamName,
} from '@fireflyglade/model';
import {productCallInterface, type CallInterface} from '../../call-interface/index.js';
import type {Fleet} from '../../types.js';
import type {CallPolicy, CallTerms} from '../call-policy.js';
import {checkCutOff, identifyCaller} from '../caller-identity/index.js';
import {KeyTable} from '../key-table/index.js';

const staleKeysRetryMilliseconds = 500;
const staleKeysProblem: Problem = {
	code: 'cut-off', outcome: 'not-run', detail: 'no quorum has confirmed the keys lately', retryAfterMilliseconds: staleKeysRetryMilliseconds,
};

/** The terms of callers' requests. */
export class CallerPolicy implements CallPolicy {
	readonly #fleet: Fleet;
	readonly #interface: CallInterface;
	#keys: KeyTable;
	#teams: ReadonlyMap<TeamName, Team> = new Map();

	constructor(fleet: Fleet, callInterface: CallInterface = productCallInterface) {
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
		const isDeeper = identity.kind === 'open' && this.#interface.openCallsContinueChains;
		const team = identity.kind === 'team' ? this.#teams.get(identity.team) : undefined;
		return {
			kind: 'granted',
			...(identity.kind === 'team' ? {team: identity.team} : {}),
			...(identity.secret === undefined ? {} : {secret: identity.secret}),
			priority: isDeeper ? highestPriority : team?.priority ?? route.priority,
			deadline: now + timeoutMilliseconds,
			attempts: route.retryLimit + 1,
			depth: isDeeper ? 1 : 0,
			...(typeof traceparent === 'string' ? {traceparent} : {}),
			isCharged: team !== undefined && team.isUnlimited !== true,
		};
	}

	#createKeys(configuration: Configuration): KeyTable {
		return new KeyTable(configuration, id => this.#fleet.isKeyWithdrawn(id));
	}
}
