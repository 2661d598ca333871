/**
Measures the processor time of one remote call, with client and server both in
this process.
*/

import {GrpcRpcClient, GrpcRpcServer, type RpcMethod} from '@fireflyglade/transport';
import {startProcessorTime} from '../_lib/process-figures.js';

/** The cost of one remote call with a message of `messageBytes`. */
export type RemoteCallCost = {
	readonly messageBytes: number;
	/** Microseconds of processor time for client and server together. */
	readonly processorMicroseconds: number;
};

const echoMethod: RpcMethod<{data: Uint8Array}, {length: number}> = {service: 'capacity', name: 'echo'};
const warmUpCalls = 2000;
const measuredCalls = 4000;
const callTimeoutMilliseconds = 5000;
const microsecondsInMillisecond = 1000;
const concurrency = 4;

/** Measures remote calls with messages of `messageBytes`, over loopback and authenticated by a fleet token. */
export async function measureRemoteCalls(messageBytes: number): Promise<RemoteCallCost> {
	const credentials = {kind: 'token', token: 'fleet'} as const;
	const server = new GrpcRpcServer(credentials);
	const client = new GrpcRpcClient(credentials);
	server.handle(echoMethod, async ({data}) => ({length: data.byteLength}));
	const address = await server.listen('127.0.0.1:0');
	const data = new Uint8Array(messageBytes);
	const callMany = async (count: number): Promise<void> => {
		for (let called = 0; called < count; called += 1) {
			await client.call(echoMethod, address, {data}, {timeoutMilliseconds: callTimeoutMilliseconds});
		}
	};

	try {
		await callMany(warmUpCalls);
		const processorTime = startProcessorTime();
		await Promise.all(Array.from({length: concurrency}, async () => callMany(measuredCalls / concurrency)));
		return {messageBytes, processorMicroseconds: processorTime() * microsecondsInMillisecond / measuredCalls};
	} finally {
		client.close();
		await server.close();
	}
}
