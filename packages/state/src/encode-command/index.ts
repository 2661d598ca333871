/**
Encodes commands for the replicated log.
*/

import {encodeValue} from '../_lib/codec.js';
import type {Command} from '../types.js';

/**
Encodes a command.

@example
```ts
decodeCommand(encodeCommand(command)); //=> Equal to command
```
*/
export function encodeCommand(command: Command): Uint8Array {
	return encodeValue(command);
}
