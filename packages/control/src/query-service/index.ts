/**
Answers queries about the configuration and the live state of the fleet.
*/

import {
	evaluateQuery, type QueryStatement, type Row, type StatementResponse,
} from '@fireflyglade/language';
import {
	UnreachableError, type Clock, type Configuration, type ConfigurationChange, type TeamName,
} from '@fireflyglade/model';
import type {TeamRequestCounts} from '@fireflyglade/transport';
import {sumTeamRequestCounts, type FleetRegistry} from '../fleet-registry/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the query service. */
export type QueryServiceOptions = {
	readonly log: ReplicatedLog;
	readonly registry: FleetRegistry;
	readonly clock: Clock;
	/** Returns the request counts of the teams at the other control processes, a list for each one that answers. */
	readonly fetchTeamCounts: () => Promise<ReadonlyArray<readonly TeamRequestCounts[]>>;
};

type RowsAnswer = Extract<StatementResponse, {kind: 'rows'}>;
type Table = {readonly columns: readonly string[]; readonly rows: readonly Row[]};

function joinNames(names: Iterable<string>): string {
	return [...names].join(' ');
}

/** Answers queries about the configuration and the live state of the fleet. */
export class QueryService {
	readonly #options: QueryServiceOptions;

	constructor(options: QueryServiceOptions) {
		this.#options = options;
	}

	/**
	Answers a query from a state with all changes committed before the call (a linearizable read).

	@throws {NoQuorumError} No quorum confirmed the read.
	@throws {UnknownColumnError} The query names a column that does not exist.
	*/
	async answer(query: QueryStatement): Promise<RowsAnswer> {
		await this.#options.log.read();
		const configuration = this.#options.log.stateMachine().configuration();
		const table = await this.#table(query, configuration);
		return {
			kind: 'rows',
			revision: configuration.revision,
			columns: table.columns,
			rows: evaluateQuery(query, table.rows, {columns: table.columns}),
		};
	}

	async #table(query: QueryStatement, configuration: Configuration): Promise<Table> {
		switch (query.subject) {
			case 'teams': {
				return this.#teams(configuration);
			}

			case 'keys': {
				return listKeys(configuration);
			}

			case 'routes': {
				return listRoutes(configuration);
			}

			case 'upstreams': {
				return this.#upstreams(configuration);
			}

			case 'nodes': {
				return this.#nodes();
			}

			case 'domains': {
				return this.#domains(configuration);
			}

			case 'members': {
				return this.#members();
			}

			case 'history': {
				return this.#history();
			}

			case 'revision': {
				return this.#revision(configuration);
			}

			default: {
				throw new UnreachableError(query.subject);
			}
		}
	}

	async #teams(configuration: Configuration): Promise<Table> {
		const {registry, clock, fetchTeamCounts} = this.#options;
		const others = await fetchTeamCounts();
		const countsByTeam = sumTeamRequestCounts([registry.directTeamRequestCounts(clock.now()), ...others]);
		return {
			columns: ['team', 'rate', 'burst', 'offered', 'goodput', 'failed', 'refused', 'refusedByRate', 'refusedByLoad'],
			rows: [...configuration.teams.values()].map(team => ({
				team: team.name, rate: team.ratePerSecond, burst: team.burst, ...describeRequestCounts(team.name, countsByTeam),
			})),
		};
	}

	#upstreams(configuration: Configuration): Table {
		const now = this.#options.clock.now();
		const rows: Row[] = [];
		for (const known of this.#options.registry.nodes()) {
			const {target, level} = known.report;
			if (target === undefined) {
				continue;
			}

			rows.push({
				id: target.upstream,
				service: target.service,
				node: target.node,
				domain: target.domain,
				slots: target.slots,
				state: describeUpstream(this.#options.registry.hasRecentReport(known, now), configuration.drainedUpstreams.has(target.upstream), target.available),
				inFlight: level?.inFlight,
				limit: level?.limit,
				queue: level?.queueLength,
			});
		}

		return {columns: ['id', 'service', 'node', 'domain', 'slots', 'state', 'inFlight', 'limit', 'queue'], rows};
	}

	#nodes(): Table {
		const now = this.#options.clock.now();
		return {
			columns: ['node', 'domain', 'state', 'revision', 'heardMillisecondsAgo', 'callers', 'rpc'],
			rows: this.#options.registry.nodes().map(known => ({
				node: known.report.node,
				domain: known.report.domain,
				state: this.#options.registry.hasRecentReport(known, now) ? 'heard' : 'silent',
				revision: known.report.revision,
				heardMillisecondsAgo: Math.round(now - known.lastReportAt),
				callers: known.report.callersUrl,
				rpc: known.report.rpcAddress,
			})),
		};
	}

	#domains(configuration: Configuration): Table {
		const now = this.#options.clock.now();
		const progress = this.#options.registry.revisionProgress(configuration.revision, configuration.domains.keys(), now);
		const names = [...progress.inForce, ...progress.pending, ...progress.cutOff].sort();
		return {
			columns: ['domain', 'weight', 'witnesses', 'nodes', 'revision'],
			rows: names.map(name => ({
				domain: name,
				weight: configuration.domains.get(name)?.weight,
				witnesses: joinNames(configuration.domains.get(name)?.witnesses ?? []),
				nodes: this.#options.registry.nodes().filter(node => node.report.domain === name && this.#options.registry.hasRecentReport(node, now)).length,
				revision: describeProgress(progress.inForce.includes(name), progress.pending.includes(name)),
			})),
		};
	}

	#members(): Table {
		const status = this.#options.log.status();
		const caughtUp = new Set(status.caughtUpLearners);
		const rows: Row[] = status.members.voters.map(member => ({member, vote: 'voter', leads: member === status.leader}));
		rows.push(...status.members.learners.map(member => ({member, vote: caughtUp.has(member) ? 'caught up' : 'learner', leads: false})));
		return {columns: ['member', 'vote', 'leads'], rows};
	}

	#history(): Table {
		const stateMachine = this.#options.log.stateMachine();
		return {
			columns: ['revision', 'change', 'subject', 'operator', 'acceptedAt'],
			rows: stateMachine.retainedChanges().map(accepted => ({
				revision: accepted.revision,
				change: accepted.change.kind,
				subject: describeSubject(accepted.change),
				operator: accepted.operator,
				acceptedAt: new Date(accepted.acceptedAt).toISOString(),
			})),
		};
	}

	#revision(configuration: Configuration): Table {
		const progress = this.#options.registry.revisionProgress(configuration.revision, configuration.domains.keys(), this.#options.clock.now());
		return {
			columns: ['revision', 'inForce', 'pending', 'cutOff'],
			rows: [{
				revision: configuration.revision,
				inForce: joinNames(progress.inForce),
				pending: joinNames(progress.pending),
				cutOff: joinNames(progress.cutOff),
			}],
		};
	}
}

function describeRequestCounts(team: TeamName, countsByTeam: ReadonlyMap<TeamName, TeamRequestCounts>): Row {
	const sum = countsByTeam.get(team);
	const refusedByRate = sum?.refusedByRate ?? 0;
	const refusedByLoad = sum?.refusedByLoad ?? 0;
	return {
		offered: sum?.offered ?? 0,
		goodput: sum?.succeeded ?? 0,
		failed: sum?.failed ?? 0,
		refused: refusedByRate + refusedByLoad,
		refusedByRate,
		refusedByLoad,
	};
}

function describeUpstream(isReporting: boolean, isDrained: boolean, isAvailable: boolean): string {
	if (!isReporting) {
		return 'silent';
	}

	if (isDrained) {
		return 'drained';
	}

	return isAvailable ? 'serving' : 'leaving';
}

function describeProgress(isInForce: boolean, isPending: boolean): string {
	if (isInForce) {
		return 'in force';
	}

	return isPending ? 'pending' : 'cut off';
}

function describeSubject(change: ConfigurationChange): string {
	switch (change.kind) {
		case 'create-team': {
			return change.team.name;
		}

		case 'issue-key': {
			return `${change.key.id} for ${change.key.team}`;
		}

		case 'create-route': {
			return change.route.id;
		}

		case 'set-domain': {
			return change.domain.name;
		}

		case 'change-team':
		case 'delete-team':
		case 'delete-domain': {
			return change.name;
		}

		case 'withdraw-key':
		case 'change-route':
		case 'delete-route':
		case 'drain-upstream':
		case 'undrain-upstream': {
			return change.id;
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}

function listKeys(configuration: Configuration): Table {
	return {
		columns: ['id', 'team', 'state'],
		rows: [...configuration.keys.values()].map(key => ({id: key.id, team: key.team, state: key.withdrawn ? 'withdrawn' : 'valid'})),
	};
}

function listRoutes(configuration: Configuration): Table {
	return {
		columns: ['method', 'path', 'service', 'priority', 'idempotent', 'open', 'retries', 'timeoutMilliseconds', 'whenCutOff', 'teams'],
		rows: [...configuration.routes.values()].map(route => ({
			method: route.method,
			path: route.path,
			service: route.service,
			priority: route.priority,
			idempotent: route.idempotent,
			open: route.open,
			retries: route.retryLimit,
			timeoutMilliseconds: route.timeoutMilliseconds,
			whenCutOff: route.whenCutOff,
			teams: joinNames(route.teams ?? []),
		})),
	};
}
