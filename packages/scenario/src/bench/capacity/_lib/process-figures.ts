/**
Measures the live heap and the processor time of this process.
*/

import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const microsecondsInMillisecond = 1000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the size of the live heap and of external buffers in bytes, after garbage collection. */
export function measureHeap(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

/** Starts to measure processor time; the returned function returns the milliseconds used since then. */
export function startProcessorTime(): () => number {
	const start = process.cpuUsage();
	return () => {
		const {user, system} = process.cpuUsage(start);
		return (user + system) / microsecondsInMillisecond;
	};
}
