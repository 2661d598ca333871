/**
Reads how much processor time a process has used.
*/

import {readFile} from 'node:fs/promises';

/** Ticks of the kernel's clock in a second, on Linux. */
const ticksInSecond = 100;
const microsecondsInSecond = 1_000_000;
const userTimeField = 11;
const systemTimeField = 12;

/** Processor time of a process in microseconds, with the resolution of a hundredth of a second. */
export async function readProcessorTime(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return ticks * microsecondsInSecond / ticksInSecond;
}
