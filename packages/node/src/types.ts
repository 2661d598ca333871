/**
The contract inside a node: what the callers' path needs to know of the fleet.

The path asks; the fleet runtime answers from the configuration, membership and
rates that it keeps over RPC with peers and control processes.
*/

import type {Connectivity} from '@fireflyglade/membership';
import type {
	Configuration, GateLevel, KeyId, RequestId, Target, TeamName,
} from '@fireflyglade/model';
import type {ChargeOutcome} from '@fireflyglade/rates';
import type {TeamRequestCounts} from '@fireflyglade/transport';

/** What the callers' path needs to know of the fleet. */
export type Fleet = {
	configuration(): Configuration;
	/** Withdrawn by gossip, perhaps before the configuration says so. */
	isKeyWithdrawn(id: KeyId): boolean;
	/** True if a configuration that a quorum confirmed is in force and peers have told of the targets; nothing is served before. */
	hasConfiguration(): boolean;
	/** True if a quorum has confirmed the keys lately enough. */
	areKeysFresh(): boolean;
	connectivity(): Connectivity;
	/** Targets of all services that this node may call. */
	targets(): readonly Target[];
	charge(team: TeamName, requestId: RequestId): ChargeOutcome | Promise<ChargeOutcome>;
	/** Gives the token of a request back once, as the request did not run for lack of capacity. */
	refund(requestId: RequestId): void;
	/** The request has ended; its token is spent. */
	settle(requestId: RequestId): void;
	/** Calls `listener` whenever configuration, targets or drained upstreams have changed; returns a function that ends this. */
	onChange(listener: () => void): () => void;
	/** Takes over what the gate knows of the upstream beside the node; `undefined` if there is none. */
	announceTarget(target: Target | undefined): void;
	/** Asks the gate for its level whenever peers are told. */
	setLevelSource(source: () => GateLevel | undefined): void;
	/** Figures by team for the report to control. */
	setFiguresSource(source: () => readonly TeamRequestCounts[]): void;
};
