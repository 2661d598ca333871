/**
The terms of callers' requests: the team comes from the key, everything else from
the route.
*/

import type {IncomingMessage} from 'node:http';
import type {Configuration, Route} from '@fireflyglade/model';
import type {Fleet} from '../../types.js';
import type {CallPolicy, CallTerms} from '../call-policy.js';
import {checkCutOff, identifyCaller} from '../caller-identity/index.js';
import {KeyTable} from '../key-table/index.js';

/** The terms of callers' requests. */
export class CallerPolicy implements CallPolicy {
	readonly #fleet: Fleet;
	#keys: KeyTable;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
		this.#keys = this.#createKeys(fleet.configuration());
	}

	get side(): 'caller' {
		return 'caller';
	}

	setConfiguration(configuration: Configuration): void {
		this.#keys = this.#createKeys(configuration);
	}

	decide(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms {
		const identity = identifyCaller(request, route, this.#keys);
		if (identity.kind === 'refused') {
			return identity;
		}

		const cutOff = checkCutOff(route, this.#fleet.connectivity(), now);
		if (cutOff !== undefined) {
			return {kind: 'refused', problem: cutOff};
		}

		const {traceparent} = request.headers;
		return {
			kind: 'granted',
			...(identity.kind === 'team' ? {team: identity.team} : {}),
			...(identity.secret === undefined ? {} : {secret: identity.secret}),
			priority: route.priority,
			deadline: now + timeoutMilliseconds,
			attempts: route.retryLimit + 1,
			depth: 0,
			...(typeof traceparent === 'string' ? {traceparent} : {}),
			isCharged: identity.kind === 'team',
		};
	}

	#createKeys(configuration: Configuration): KeyTable {
		return new KeyTable(configuration, id => this.#fleet.isKeyWithdrawn(id));
	}
}
