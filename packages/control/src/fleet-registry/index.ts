/**
What the control processes know of the nodes from their reports: who is alive,
which revision is in force where, and the live figures.
*/

import type {
	FailureDomain, NodeId, Revision, TeamName,
} from '@fireflyglade/model';
import type {NodeReport, TeamRequestCounts} from '@fireflyglade/transport';

/** A node as its last report described it. */
export type KnownNode = {
	readonly report: NodeReport;
	/** Monotonic milliseconds of this process. */
	readonly lastReportAt: number;
	/** True if the node, or the relay that spoke for it, reported to this process itself. */
	readonly isDirect: boolean;
};

/** How far a revision has come. */
export type RevisionProgress = {
	/** Every node heard in these domains has the revision in force. */
	readonly inForce: readonly FailureDomain[];
	/** Some node heard in these domains has not confirmed it yet. */
	readonly pending: readonly FailureDomain[];
	/** Nothing is heard from these domains. */
	readonly cutOff: readonly FailureDomain[];
};

const recentReportMilliseconds = 3500;
const staleNodeMilliseconds = 600_000;

function addTeamFigures(sum: TeamRequestCounts | undefined, figures: TeamRequestCounts): TeamRequestCounts {
	return {
		team: figures.team,
		offered: (sum?.offered ?? 0) + figures.offered,
		succeeded: (sum?.succeeded ?? 0) + figures.succeeded,
		failed: (sum?.failed ?? 0) + figures.failed,
		refusedByRate: (sum?.refusedByRate ?? 0) + figures.refusedByRate,
		refusedByLoad: (sum?.refusedByLoad ?? 0) + figures.refusedByLoad,
	};
}

/** The nodes as their reports describe them. */
export class FleetRegistry {
	readonly #nodes = new Map<NodeId, KnownNode>();
	readonly #listeners = new Set<() => void>();

	/** Takes over a report that was heard at `lastReportAt`, here or by another control process; an older one than known is passed over. */
	recordReport(report: NodeReport, lastReportAt: number, isDirect: boolean): void {
		const known = this.#nodes.get(report.node);
		if (known !== undefined && known.lastReportAt > lastReportAt) {
			return;
		}

		this.#nodes.set(report.node, {report, lastReportAt, isDirect});
		for (const relayed of report.relayed) {
			this.#recordRelayedNode(report, relayed, lastReportAt, isDirect);
		}

		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Calls `listener` after each report; returns a function that ends this. */
	onReport(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** All nodes that were heard of lately or not so lately. */
	nodes(): readonly KnownNode[] {
		return [...this.#nodes.values()];
	}

	/** True if the node was heard within the last seconds. */
	hasRecentReport(node: KnownNode, now: number): boolean {
		return now - node.lastReportAt <= recentReportMilliseconds;
	}

	/** What was heard here after `since`; what others passed on is left out, or it would go round for ever. */
	directReportsSince(since: number): readonly KnownNode[] {
		return this.nodes().filter(node => node.isDirect && node.lastReportAt > since);
	}

	/** Sums of the figures by team, of the nodes that are heard. */
	teamFigures(now: number): ReadonlyMap<TeamName, TeamRequestCounts> {
		const sums = new Map<TeamName, TeamRequestCounts>();
		for (const node of this.#nodes.values()) {
			if (!this.hasRecentReport(node, now)) {
				continue;
			}

			for (const figures of node.report.teams) {
				sums.set(figures.team, addTeamFigures(sums.get(figures.team), figures));
			}
		}

		return sums;
	}

	/** Says how far a revision has come in the domains of the configuration and in those that were heard. */
	revisionProgress(revision: Revision, configured: Iterable<FailureDomain>, now: number): RevisionProgress {
		const domains = new Set<FailureDomain>(configured);
		const heard = new Set<FailureDomain>();
		const lagging = new Set<FailureDomain>();
		for (const node of this.#nodes.values()) {
			const {domain} = node.report;
			domains.add(domain);
			if (!this.hasRecentReport(node, now)) {
				continue;
			}

			heard.add(domain);
			if (node.report.revision < revision) {
				lagging.add(domain);
			}
		}

		const sorted = [...domains].sort();
		return {
			inForce: sorted.filter(domain => heard.has(domain) && !lagging.has(domain)),
			pending: sorted.filter(domain => lagging.has(domain)),
			cutOff: sorted.filter(domain => !heard.has(domain)),
		};
	}

	/** Forgets nodes that have been silent for long. */
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
		this.#nodes.set(relayed.node, {report, lastReportAt, isDirect});
	}
}
