/**
Parses addresses of the form `host:port`.
*/

import {InvalidInputError} from '@fireflyglade/model';

/**
Splits `host:port` into host and port.

@throws {InvalidInputError} The value is not of the form `host:port` or the port is out of range.
*/
export function parseAddress(address: string): {readonly host: string; readonly port: number} {
	const separator = address.lastIndexOf(':');
	const port = Number(address.slice(separator + 1));
	if (separator <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) {
		throw new InvalidInputError(`${JSON.stringify(address)} is not an address of the form host:port`);
	}

	return {host: address.slice(0, separator), port};
}
