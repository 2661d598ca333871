/**
Writes a command for the replicated log.
*/

import {encodeValue} from '../_lib/codec.js';
import type {Command} from '../types.js';

/**
Gives the binary form of a command.

@example
```ts
decodeCommand(encodeCommand(command)); // equal to command
```
*/
export function encodeCommand(command: Command): Uint8Array {
	return encodeValue(command);
}
