/**
The interface between the request path of a node and the fleet runtime.

The request path queries configuration, targets and rate limits; the fleet
runtime keeps them up to date over RPC with peers and control processes.
*/

import type {Connectivity} from '@fireflyglade/membership';
import type {
	Configuration, GateLevel, KeyId, RequestId, Target, TeamName,
} from '@fireflyglade/model';
import type {ChargeOutcome} from '@fireflyglade/rates';
import type {TeamRequestCounts} from '@fireflyglade/transport';

/** The state of the fleet, as far as the request path needs it. */
export type Fleet = {
	/** The configuration in force at this node. */
	configuration(): Configuration;
	/** True if gossip reported the key as withdrawn, possibly before the configuration contains the withdrawal. */
	isKeyWithdrawn(id: KeyId): boolean;
	/** True once a configuration confirmed by a quorum is in force and peers have reported the targets. The node is not ready before. */
	hasConfiguration(): boolean;
	/** True if a quorum has confirmed the keys within the freshness bound, or if there is no bound. */
	areKeysFresh(): boolean;
	/** Whether the node is connected, has lost the control quorum, or is also cut off from at least half of the failure domains. */
	connectivity(): Connectivity;
	/** Targets of all services that this node may call. */
	targets(): readonly Target[];
	/** Takes a token from the team's token bucket for a request, the more important ones first while the team exceeds its rate. The outcome is a promise if the tokens have to come from another node. */
	charge(team: TeamName, requestId: RequestId, priority?: number): ChargeOutcome | Promise<ChargeOutcome>;
	/** Returns the token of a request that did not run for lack of capacity. A second call has no effect. */
	refund(requestId: RequestId): void;
	/** Marks the token of a finished request as spent. */
	settle(requestId: RequestId): void;
	/** Calls `listener` after each change of the configuration, the targets, the drained upstreams or the withdrawn keys. Returns a function that removes the listener. */
	onChange(listener: () => void): () => void;
	/** Publishes the node's own upstream as a target; `undefined` if there is none. */
	announceTarget(target: Target | undefined): void;
	/** Sets the function that provides the load of the gate, which the node sends to peers and reports to control. */
	setLevelSource(source: () => GateLevel | undefined): void;
	/** Sets the function that provides the request counts of each team for reports to control. */
	setFiguresSource(source: () => readonly TeamRequestCounts[]): void;
};
