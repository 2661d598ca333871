/**
Reads the processor time that a process has used from `/proc`.
*/

import {readFile} from 'node:fs/promises';

/** Clock ticks per second in which Linux counts processor time. */
const ticksInSecond = 100;
const microsecondsInSecond = 1_000_000;
/** Positions of the fields `utime` and `stime` in `/proc/<pid>/stat`, counted after the command name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Returns the user and system time of a process in microseconds, with a resolution of a hundredth of a second. */
export async function readProcessorTime(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return ticks * microsecondsInSecond / ticksInSecond;
}
