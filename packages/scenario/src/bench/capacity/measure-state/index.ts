/**
Measures the size and the processor time of the replicated state after a number
of changes, and the size of the configuration that nodes receive.
*/

import {
	createServiceName, createTeamName, createRouteId, type CommandId, type ConfigurationChange, type KeyDigest, type KeyId,
} from '@fireflyglade/model';
import {ConfigurationStateMachine, encodeCommand, type Command} from '@fireflyglade/state';
import {encodeMessage} from '@fireflyglade/transport';
import {measureHeap, startProcessorTime} from '../_lib/process-figures.js';

/** The cost of the state after a number of changes. */
export type StateCost = {
	readonly changes: number;
	/** Bytes of one change in the log. */
	readonly logBytesPerChange: number;
	readonly snapshotBytes: number;
	readonly snapshotMilliseconds: number;
	readonly heapBytes: number;
	/** Microseconds of processor time to apply one change. */
	readonly applyMicroseconds: number;
	/** Bytes of the whole configuration as it is sent to a node. */
	readonly configurationBytes: number;
	/** Bytes of one change as it is sent to a node. */
	readonly updateBytesPerChange: number;
};

const teamCount = 200;
const routeCount = 1000;
const keyCount = 2000;
const microsecondsInMillisecond = 1000;
const startTimestampMilliseconds = 1_790_000_000_000;

/** Returns a change by its index: first teams, routes and keys are created, then rates change and keys are issued and withdrawn. */
function changeAt(index: number): ConfigurationChange {
	if (index < teamCount) {
		return {kind: 'create-team', team: {name: createTeamName(`team-${index}`), ratePerSecond: 20, burst: 10}};
	}

	if (index < teamCount + routeCount) {
		return createRoute(index - teamCount);
	}

	if (index < teamCount + routeCount + keyCount) {
		return issueKey(index);
	}

	switch (index % 3) {
		case 0: {
			return {kind: 'change-team', name: createTeamName(`team-${index % teamCount}`), ratePerSecond: 20 + (index % 50)};
		}

		case 1: {
			return issueKey(index);
		}

		default: {
			return {kind: 'withdraw-key', id: `key-${index - 1}` as KeyId};
		}
	}
}

function createRoute(index: number): ConfigurationChange {
	const path = `/service-${index % 160}/items-${index}/:id`;
	return {
		kind: 'create-route',
		route: {
			id: createRouteId('GET', path), method: 'GET', path, service: createServiceName(`service-${index % 160}`), priority: 5,
			idempotent: true, open: false, retryLimit: 2, timeoutMilliseconds: 10_000, whenCutOff: 'serve',
		},
	};
}

function issueKey(index: number): ConfigurationChange {
	return {
		kind: 'issue-key',
		key: {
			id: `key-${index}` as KeyId, team: createTeamName(`team-${index % teamCount}`), digest: String(index).padStart(64, 'a') as KeyDigest, withdrawn: false,
		},
	};
}

function commandAt(index: number): Command {
	return {
		kind: 'change',
		commandId: `0b5c1d9e-0000-4000-8000-${String(index).padStart(12, '0')}` as CommandId,
		change: changeAt(index),
		operator: 'operator-one',
		at: startTimestampMilliseconds + index,
	};
}

/** Measures the state after a number of changes. */
export function measureState(changes: number): StateCost {
	const heapBefore = measureHeap();
	const machine = new ConfigurationStateMachine();
	let logBytes = 0;
	for (let index = 0; index < changes; index += 1) {
		logBytes += encodeCommand(commandAt(index)).byteLength;
	}

	const applyTime = startProcessorTime();
	for (let index = 0; index < changes; index += 1) {
		machine.apply(commandAt(index));
	}

	const applyMilliseconds = applyTime();
	const heapBytes = measureHeap() - heapBefore;
	const snapshotTime = startProcessorTime();
	const snapshotBytes = machine.save().byteLength;
	const snapshotMilliseconds = snapshotTime();
	const last = machine.retainedChanges().slice(-100);
	return {
		changes,
		logBytesPerChange: logBytes / changes,
		snapshotBytes,
		snapshotMilliseconds,
		heapBytes,
		applyMicroseconds: applyMilliseconds * microsecondsInMillisecond / changes,
		configurationBytes: encodeMessage({kind: 'whole', configuration: machine.configuration()}).byteLength,
		updateBytesPerChange: encodeMessage({kind: 'changes', after: 0, changes: last}).byteLength / last.length,
	};
}
