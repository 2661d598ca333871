/**
Figures of this process: live heap and processor time.
*/

import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const microsecondsInMillisecond = 1000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of the live heap and of buffers, after a garbage collection. */
export function measureHeap(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

/** Starts to measure processor time; the returned function gives the milliseconds since. */
export function startProcessorTime(): () => number {
	const start = process.cpuUsage();
	return () => {
		const {user, system} = process.cpuUsage(start);
		return (user + system) / microsecondsInMillisecond;
	};
}
