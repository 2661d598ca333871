/**
Keeps the last report of each node: which nodes are reporting, which revision is in
force in which failure domain, and the request counts of the teams.
*/

import type {
	FailureDomain, NodeId, Revision, TeamName,
} from '@fireflyglade/model';
import type {NodeReport, TeamRequestCounts} from '@fireflyglade/transport';

/** A node with its last report. */
export type KnownNode = {
	readonly report: NodeReport;
	/** Time of the last report, full or brief, in monotonic milliseconds of this process. */
	readonly lastReportAt: number;
	/** Time of the last full report. */
	readonly lastFullReportAt: number;
	/** True if the node, or the relay that reports for it, sent the report to this process. */
	readonly isDirect: boolean;
};

/** The failure domains by how far a revision is in force in them. */
export type RevisionProgress = {
	/** All reporting nodes of these domains have the revision in force. */
	readonly inForce: readonly FailureDomain[];
	/** At least one reporting node of these domains has not confirmed the revision yet. */
	readonly pending: readonly FailureDomain[];
	/** No node of these domains reports. */
	readonly cutOff: readonly FailureDomain[];
};

const recentReportMilliseconds = 3500;
const staleNodeMilliseconds = 600_000;

function addTeamRequestCounts(sum: TeamRequestCounts | undefined, counts: TeamRequestCounts): TeamRequestCounts {
	return {
		team: counts.team,
		offered: (sum?.offered ?? 0) + counts.offered,
		succeeded: (sum?.succeeded ?? 0) + counts.succeeded,
		failed: (sum?.failed ?? 0) + counts.failed,
		refusedByRate: (sum?.refusedByRate ?? 0) + counts.refusedByRate,
		refusedByLoad: (sum?.refusedByLoad ?? 0) + counts.refusedByLoad,
	};
}

/** Sums the request counts of each team over several lists of counts. */
export function sumTeamRequestCounts(lists: ReadonlyArray<readonly TeamRequestCounts[]>): ReadonlyMap<TeamName, TeamRequestCounts> {
	const sums = new Map<TeamName, TeamRequestCounts>();
	for (const counts of lists.flat()) {
		sums.set(counts.team, addTeamRequestCounts(sums.get(counts.team), counts));
	}

	return sums;
}

/** The known nodes with their last reports. */
export class FleetRegistry {
	readonly #nodes = new Map<NodeId, KnownNode>();
	readonly #listeners = new Set<() => void>();

	/**
	Records a report. A report older than the known one is ignored.

	@param report - The report.
	@param lastReportAt - Time at which a control process received it, in monotonic milliseconds of this process.
	@param isDirect - True if this process received it from the node, false if another control process shared it.
	*/
	recordReport(report: NodeReport, lastReportAt: number, isDirect: boolean): void {
		const known = this.#nodes.get(report.node);
		if (known !== undefined && known.lastReportAt > lastReportAt) {
			return;
		}

		this.#nodes.set(report.node, {
			report, lastReportAt, lastFullReportAt: lastReportAt, isDirect,
		});
		for (const relayed of report.relayed) {
			this.#recordRelayedNode(report, relayed, lastReportAt, isDirect);
		}

		this.#notifyListeners();
	}

	/**
	Records a brief report: the node still reports and has a revision in force.

	@param node - The node.
	@param revision - The revision.
	@param lastReportAt - As for `recordReport`.
	@param isDirect - As for `recordReport`.
	@returns The node's last full report with the revision, or `undefined` if there is none.
	*/
	recordBriefReport(node: NodeId, revision: Revision, lastReportAt: number, isDirect: boolean): NodeReport | undefined {
		const known = this.#nodes.get(node);
		if (known === undefined || known.lastReportAt > lastReportAt) {
			return known?.report;
		}

		const report = {...known.report, revision};
		this.#nodes.set(node, {
			report, lastReportAt, lastFullReportAt: known.lastFullReportAt, isDirect,
		});
		this.#notifyListeners();
		return report;
	}

	/** Calls `listener` after each recorded report; returns a function that removes the listener. */
	onReport(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** All known nodes, including those that no longer report. */
	nodes(): readonly KnownNode[] {
		return [...this.#nodes.values()];
	}

	/** True if the node's last report is recent enough for the node to count as reporting. */
	hasRecentReport(node: KnownNode, now: number): boolean {
		return now - node.lastReportAt <= recentReportMilliseconds;
	}

	/** Nodes whose reports this process received itself after `since`. Shared reports are left out, since control processes would pass them back and forth without end. */
	directReportsSince(since: number): readonly KnownNode[] {
		return this.nodes().filter(node => node.isDirect && node.lastReportAt > since);
	}

	/** Sums the request counts of each team over the nodes that report to this process. A node's counts begin at its start. */
	directTeamRequestCounts(now: number): readonly TeamRequestCounts[] {
		const reporting = this.nodes().filter(node => node.isDirect && this.hasRecentReport(node, now));
		return [...sumTeamRequestCounts(reporting.map(({report}) => report.teams)).values()];
	}

	/**
	Classifies failure domains by how far a revision is in force in them.

	@param revision - The revision.
	@param configured - Domains of the configuration; domains of known nodes are added.
	@param now - Monotonic milliseconds.
	*/
	revisionProgress(revision: Revision, configured: Iterable<FailureDomain>, now: number): RevisionProgress {
		const domains = new Set<FailureDomain>(configured);
		const reporting = new Set<FailureDomain>();
		const lagging = new Set<FailureDomain>();
		for (const node of this.#nodes.values()) {
			const {domain} = node.report;
			domains.add(domain);
			if (!this.hasRecentReport(node, now)) {
				continue;
			}

			reporting.add(domain);
			if (node.report.revision < revision) {
				lagging.add(domain);
			}
		}

		const sorted = [...domains].sort();
		return {
			inForce: sorted.filter(domain => reporting.has(domain) && !lagging.has(domain)),
			pending: sorted.filter(domain => lagging.has(domain)),
			cutOff: sorted.filter(domain => !reporting.has(domain)),
		};
	}

	/** Removes nodes that have not reported for ten minutes. */
	removeStaleNodes(now: number): void {
		for (const [id, node] of this.#nodes) {
			if (now - node.lastReportAt > staleNodeMilliseconds) {
				this.#nodes.delete(id);
			}
		}
	}

	#recordRelayedNode(relay: NodeReport, relayed: NodeReport['relayed'][number], lastReportAt: number, isDirect: boolean): void {
		const known = this.#nodes.get(relayed.node);
		if (known !== undefined && known.lastReportAt > lastReportAt) {
			return;
		}

		const report: NodeReport = known === undefined
			? {
				node: relayed.node, domain: relay.domain, revision: relayed.revision, rpcAddress: '', callersUrl: '', teams: [], waitMilliseconds: 0, relayed: [],
			}
			: {...known.report, revision: relayed.revision};
		this.#nodes.set(relayed.node, {
			report, lastReportAt, lastFullReportAt: lastReportAt, isDirect,
		});
	}

	#notifyListeners(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
