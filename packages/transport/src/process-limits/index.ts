/**
Determines what a process may use of its machine, from its settings or, where they state
nothing, from what the system tells.
*/

import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {bytesInMebibyte} from '@fireflyglade/model';
import type {ResourceSettings} from '@fireflyglade/settings';

/** What a process may use of its machine. */
export type ProcessLimits = {
	/** Bytes that it may hold for callers and peers. */
	readonly heldBytes: number;
	/** Open descriptors; infinity if the system states no limit. */
	readonly descriptors: number;
};

/** Part of the memory that may be held for callers and peers. The rest is for code and configuration, for garbage, and for buffers of the runtime and of the operating system. */
const heldFraction = 0.25;
const minimumHeldBytes = 8 * bytesInMebibyte;

/** Returns the limits of this process. */
export function detectProcessLimits({memoryBytes, maximumDescriptors}: ResourceSettings = {}): ProcessLimits {
	const memory = Math.min(memoryBytes ?? detectMemory(), getHeapStatistics().heap_size_limit);
	return {
		heldBytes: Math.max(minimumHeldBytes, Math.floor(memory * heldFraction)),
		descriptors: maximumDescriptors ?? detectMaximumDescriptors(),
	};
}

/** Memory of the machine, or of the part of it to which the system confines the process. A system without such a limit states none, or one beyond the memory of the machine. */
function detectMemory(): number {
	const constrained = process.constrainedMemory();
	return constrained === undefined || constrained <= 0 ? totalmem() : Math.min(constrained, totalmem());
}

function detectMaximumDescriptors(): number {
	try {
		const limit = /^Max open files\s+(?<soft>\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.groups?.soft;
		return limit === undefined ? Number.POSITIVE_INFINITY : Number(limit);
	} catch {
		// The system has no such file.
		return Number.POSITIVE_INFINITY;
	}
}
