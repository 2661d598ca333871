/**
Encodes messages between members.
*/

import {encodeValue} from '../_lib/codec.js';
import type {ConsensusMessage} from '../types.js';

/**
Encodes a message.

@example
```ts
decodeMessage(encodeMessage(message)); //=> Equal to message
```
*/
export function encodeMessage(message: ConsensusMessage): Uint8Array {
	return encodeValue(message);
}
