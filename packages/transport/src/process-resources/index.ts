/**
What all listeners of a process share.
*/

import type {ResourceSettings} from '@fireflyglade/settings';
import {ConnectionBudget} from '../connection-budget/index.js';
import {MemoryBudget} from '../memory-budget/index.js';
import {detectProcessLimits} from '../process-limits/index.js';

/** What all listeners of a process share. */
export type ProcessResources = {
	/** The memory that the process holds for callers and peers. */
	readonly memory: MemoryBudget;
	/** The connections that the process accepts. */
	readonly connections: ConnectionBudget;
};

/** Creates the resources of this process, whose sizes follow from its settings and its machine. */
export function createProcessResources(settings?: ResourceSettings): ProcessResources {
	const limits = detectProcessLimits(settings);
	return {memory: new MemoryBudget(limits.heldBytes), connections: new ConnectionBudget(limits.descriptors)};
}
