/**
Writes a message between members for the network.
*/

import {encodeValue} from '../_lib/codec.js';
import type {ConsensusMessage} from '../types.js';

/**
Gives the binary form of a message.

@example
```ts
decodeMessage(encodeMessage(message)); // equal to message
```
*/
export function encodeMessage(message: ConsensusMessage): Uint8Array {
	return encodeValue(message);
}
