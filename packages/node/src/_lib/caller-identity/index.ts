/**
Identifies the team of a caller's request by its key, and makes sure that the key
appears only in the header field that is removed before the request is passed on.
*/

import type {IncomingMessage} from 'node:http';
import {
	keyFreshnessMilliseconds,
	type Problem, type Route, type TeamName,
} from '@fireflyglade/model';
import type {Connectivity} from '@fireflyglade/membership';
import type {CallInterface} from '../../call-interface/index.js';
import type {KeyTable} from '../key-table/index.js';

/** The identity on whose behalf a request runs, or the problem with which it is refused. */
export type CallerIdentity =
	| {readonly kind: 'team'; readonly team: TeamName; readonly secret: string}
	/** The route is open to all. A key that was sent anyway is removed too. */
	| {readonly kind: 'open'; readonly secret?: string}
	| {readonly kind: 'refused'; readonly problem: Problem};

const bareKeyPattern = /^[\u0021-\u007E]{1,512}$/;
const bearerPattern = /^bearer +([\w~+/.-]{1,512}=*) *$/i;
/** Shorter secrets are not searched for in the request target, as they would match by chance. */
const minimumCheckedSecretLength = 8;

function refuse(code: Problem['code'], detail: string): CallerIdentity {
	return {kind: 'refused', problem: {code, outcome: 'not-run', detail}};
}

/** Returns the secret of the bearer token in a field; undefined if there is none. */
export function readSecret(authorization: string | undefined): string | undefined {
	return authorization === undefined ? undefined : bearerPattern.exec(authorization)?.[1];
}

/** True if a request target contains the secret, plain or percent-encoded. Also true if the target can't be decoded. */
export function containsSecret(url: string, secret: string): boolean {
	if (secret.length < minimumCheckedSecretLength) {
		return false;
	}

	if (url.includes(secret)) {
		return true;
	}

	if (!url.includes('%') && !url.includes('+')) {
		return false;
	}

	try {
		const decoded = decodeURIComponent(url);
		return decoded.includes(secret) || decodeURIComponent(url.replaceAll('+', ' ')).includes(secret);
	} catch {
		return true;
	}
}

/** Returns the secret in the key's field: the whole value if keys are bare, otherwise its bearer token. */
function readSecretField(value: string | string[] | undefined, isBare: boolean): string | undefined {
	if (!isBare) {
		return readSecret(typeof value === 'string' ? value : undefined);
	}

	return typeof value === 'string' && bareKeyPattern.test(value) ? value : undefined;
}

/** Identifies on whose behalf a request on `route` runs. */
export function identifyCaller(request: IncomingMessage, route: Route, keys: KeyTable, {keyField, isKeyBare}: Pick<CallInterface, 'keyField' | 'isKeyBare'>): CallerIdentity {
	const field = request.headers[keyField];
	const secret = readSecretField(field, isKeyBare);
	if (secret !== undefined && containsSecret(request.url!, secret)) {
		return refuse('bad-request', 'a key must not stand in the path or the query');
	}

	if (route.open) {
		return secret === undefined ? {kind: 'open'} : {kind: 'open', secret};
	}

	if (field === undefined) {
		return refuse('key-missing', `the route needs a key in the field ${keyField}`);
	}

	if (secret === undefined) {
		return refuse('key-unknown', `the field ${keyField} holds no key of the expected form`);
	}

	const lookup = keys.lookUp(secret);
	if (lookup.kind === 'unknown') {
		return refuse('key-unknown', 'the key is unknown or was withdrawn');
	}

	if (!mayUseRoute(lookup.key.team, route)) {
		return refuse('route-forbidden', 'the route belongs to other teams');
	}

	return {kind: 'team', team: lookup.key.team, secret};
}

/** True if a team may use a route. */
export function mayUseRoute(team: TeamName, route: Route): boolean {
	return route.teams === undefined || route.teams.includes(team);
}

/** Refuses routes that require a key and are not served while the failure domain is cut off, once the keys are no longer fresh. */
export function checkCutOff(route: Route, connectivity: Connectivity, now: number): Problem | undefined {
	if (route.open || route.whenCutOff === 'serve' || connectivity.kind !== 'cut-off') {
		return undefined;
	}

	if (now - connectivity.since < keyFreshnessMilliseconds) {
		return undefined;
	}

	return {
		code: 'cut-off', outcome: 'not-run', detail: 'the failure domain is cut off and the keys are no longer fresh', retryAfterMilliseconds: keyFreshnessMilliseconds,
	};
}
