/**
Draws an address of the loopback range for the processes of one test.

Ports that are drawn for daemons are bound by them later. On 127.0.0.1, another
process or an outgoing connection may take such a port in between; on an address of
their own, no one else asks for ports.
*/

import {randomInt} from 'node:crypto';

const firstByte = 1;
const lastByte = 254;

/**
Returns a random address from 127.1.1.1 to 127.254.254.254.

@example
```ts
drawLoopbackHost(); //=> '127.83.7.201'
```
*/
export function drawLoopbackHost(): string {
	const drawByte = (): number => randomInt(firstByte, lastByte + 1);
	return `127.${drawByte()}.${drawByte()}.${drawByte()}`;
}
