/**
Explains where a caller's request would go now and why, without sending it.

Whether the request's team is over its rate can't be told without a charge and is left out.
The objective is that of a first attempt, and a request on an open route is taken as one of
a caller, also where the upstream's calls arrive there.
*/

import {IncomingMessage, ServerResponse, type RequestListener} from 'node:http';
import {Socket} from 'node:net';
import {
	defaultTimeoutMilliseconds, getWorkClass,
	type Clock, type Configuration, type NodeId, type Problem, type Route, type RouteId, type ServiceName, type Team, type TeamName,
} from '@fireflyglade/model';
import type {
	EntryThrottle, RootLoadShedder, Routing, TargetExplanation,
} from '@fireflyglade/routing';
import type {CallerLimits} from '@fireflyglade/settings';
import type {Fleet} from '../../types.js';
import {checkCutOff, mayUseRoute} from '../caller-identity/index.js';
import {combinePriorities} from '../caller-policy/index.js';
import {checkPath} from '../request-guards/index.js';
import {createRouteListener, type RouteMatch} from '../route-table/index.js';

/** The request to explain. */
export type ExplainQuery = {
	readonly method: string;
	readonly path: string;
	readonly host: string;
	readonly team?: string;
	readonly timeoutMilliseconds?: number;
};

/** A candidate of a service: a target without its addresses. */
export type ExplainedTarget = Omit<TargetExplanation, 'target'> & Pick<TargetExplanation['target'], 'upstream' | 'node' | 'domain'>;

/** A service that the request may go to. */
export type ExplainedService = {
	readonly service: ServiceName;
	/** Share of the route's requests that go to the service, from 0 to 1. */
	readonly share: number;
	/** True if the entry throttle would refuse the request. */
	readonly isThrottled: boolean;
	/** In order of preference; those that may not be chosen last. */
	readonly targets: readonly ExplainedTarget[];
};

/** Where a request would go, or why it would be refused before a target is chosen. */
export type RequestExplanation =
	/** The query itself can't be used. */
	| {readonly kind: 'invalid'; readonly problem: Problem}
	| {readonly kind: 'refused'; readonly route?: RouteId; readonly problem: Problem}
	| {
		readonly kind: 'route';
		/** The entry node, which explains the request. */
		readonly node: NodeId;
		readonly route: RouteId;
		readonly team?: TeamName;
		readonly priority: number;
		/** Milliseconds until the deadline, and until the objective if the route has one. */
		readonly deadlineMilliseconds: number;
		readonly objectiveMilliseconds?: number;
		/** Share of such requests that the root load shedder admits, from 0 to 1. */
		readonly admittedShare: number;
		readonly services: readonly ExplainedService[];
	};

/** Dependencies of `RequestExplainer`. */
export type RequestExplainerOptions = {
	readonly node: NodeId;
	readonly fleet: Pick<Fleet, 'configuration' | 'connectivity' | 'hasConfiguration' | 'areKeysFresh'>;
	readonly routing: Pick<Routing, 'explain'>;
	readonly clock: Pick<Clock, 'now'>;
	readonly limits: CallerLimits;
	readonly throttle?: EntryThrottle;
	readonly rootLoadShedder?: RootLoadShedder;
	/** True if the node refuses new requests. */
	isDraining(): boolean;
};

type Granted = {readonly route: Route; readonly team: Team | undefined; readonly priority: number; readonly timeoutMilliseconds: number};

/** Explains requests by the state of one node. */
export class RequestExplainer {
	readonly #options: RequestExplainerOptions;
	#configuration: Configuration | undefined;
	#listener: RequestListener | undefined;
	#match: RouteMatch | undefined;

	constructor(options: RequestExplainerOptions) {
		this.#options = options;
	}

	/** Explains one request. */
	explain(query: ExplainQuery): RequestExplanation {
		const {fleet, limits} = this.#options;
		const configuration = fleet.configuration();
		const team = [...configuration.teams.values()].find(({name}) => name === query.team);
		if (query.team !== undefined && team === undefined) {
			return {kind: 'invalid', problem: createProblem('bad-request', 'no team has this name')};
		}

		const problem = checkPath(query.path, limits);
		if (problem !== undefined) {
			return {kind: 'invalid', problem: createProblem('bad-request', problem.detail)};
		}

		const nodeProblem = this.#checkNode();
		if (nodeProblem !== undefined) {
			return {kind: 'refused', problem: nodeProblem};
		}

		const match = this.#findRoute(query, configuration);
		if (match.kind === 'none') {
			return {kind: 'refused', problem: createProblem('route-not-found', 'no route has this path')};
		}

		return match.kind === 'other-method'
			? {kind: 'refused', problem: createProblem('method-not-allowed', 'no route with this path has this method')}
			: this.#explainRoute(match.route, team, query);
	}

	#checkNode(): Problem | undefined {
		const {fleet, isDraining} = this.#options;
		if (isDraining()) {
			return createProblem('draining', 'the node shuts down');
		}

		return fleet.hasConfiguration() ? undefined : createProblem('no-configuration', 'the node holds no confirmed configuration yet');
	}

	#explainRoute(route: Route, team: Team | undefined, query: ExplainQuery): RequestExplanation {
		const {fleet, clock} = this.#options;
		const problem = checkCutOff(route, fleet.connectivity(), clock.now()) ?? checkTeam(route, team, fleet.areKeysFresh());
		if (problem !== undefined) {
			return {kind: 'refused', route: route.id, problem};
		}

		const usedTeam = route.open ? undefined : team;
		const routeTimeout = route.timeoutMilliseconds > 0 ? route.timeoutMilliseconds : defaultTimeoutMilliseconds;
		return this.#explainGranted({
			route,
			team: usedTeam,
			priority: combinePriorities(usedTeam, route),
			timeoutMilliseconds: Math.min(query.timeoutMilliseconds ?? routeTimeout, routeTimeout),
		});
	}

	#explainGranted(granted: Granted): RequestExplanation {
		const {route, team, priority, timeoutMilliseconds} = granted;
		const {node, clock, rootLoadShedder} = this.#options;
		const {latencyObjectiveMilliseconds: objective} = route;
		const hasObjective = objective !== undefined && objective > 0;
		return {
			kind: 'route',
			node,
			route: route.id,
			...(team !== undefined && {team: team.name}),
			priority,
			deadlineMilliseconds: timeoutMilliseconds,
			...(hasObjective && {objectiveMilliseconds: objective}),
			admittedShare: rootLoadShedder?.share({id: route.id, priority}, clock.now()) ?? 1,
			services: getServiceShares(route).map(({service, share}) => this.#explainService(service, share, granted, hasObjective ? objective : undefined)),
		};
	}

	#explainService(service: ServiceName, share: number, {route, team, priority, timeoutMilliseconds}: Granted, objectiveMilliseconds: number | undefined): ExplainedService {
		const {routing, clock, throttle} = this.#options;
		const now = clock.now();
		const targets = routing.explain({
			service,
			priority,
			deadline: now + timeoutMilliseconds,
			objective: objectiveMilliseconds === undefined ? undefined : now + objectiveMilliseconds,
			workClass: getWorkClass(route.id),
			tried: new Set(),
		}, now);
		return {
			service,
			share,
			isThrottled: throttle?.shouldRefuse({service, team: team?.name, priority}, now) ?? false,
			targets: targets.map(({target: {upstream, node, domain}, ...figures}) => ({
				upstream, node, domain, ...figures,
			})),
		};
	}

	/** Looks the route up with the listener that callers' requests pass, which calls its handler synchronously. */
	#findRoute({method, path, host}: ExplainQuery, configuration: Configuration): RouteMatch {
		if (this.#listener === undefined || configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#listener = createRouteListener(configuration, (_request, _response, match) => {
				this.#match = match;
			});
		}

		const request = new IncomingMessage(new Socket());
		request.method = method;
		request.url = path;
		request.headers.host = host;
		this.#match = undefined;
		this.#listener(request, new ServerResponse(request));
		return this.#match ?? {kind: 'none'};
	}
}

function checkTeam(route: Route, team: Team | undefined, areKeysFresh: boolean): Problem | undefined {
	if (route.open) {
		return undefined;
	}

	if (team !== undefined && !mayUseRoute(team.name, route)) {
		return createProblem('route-forbidden', 'the route belongs to other teams');
	}

	return areKeysFresh ? undefined : createProblem('cut-off', 'no quorum has confirmed the keys lately');
}

function createProblem(code: Problem['code'], detail: string): Problem {
	return {code, outcome: 'not-run', detail};
}

/** Returns the services of a route with their shares of its requests. */
function getServiceShares({service, shares = []}: Route): ReadonlyArray<{readonly service: ServiceName; readonly share: number}> {
	if (shares.length < 2) {
		return [{service, share: 1}];
	}

	let total = 0;
	for (const {weight} of shares) {
		total += weight;
	}

	return shares.map(share => ({service: share.service, share: share.weight / total}));
}
