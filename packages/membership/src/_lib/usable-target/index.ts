/**
Checks entries of targets that other nodes spread, so that one odd entry neither takes
the place of a sound one nor spreads further.
*/

import type {Target} from '@fireflyglade/model';

const addressPattern = /^[^\s:]+:(\d{1,5})$/;
const maximumPort = 65_535;
const maximumSlots = 100_000;

/** True if a received value is a target that a node could use. */
export function isUsableTarget(value: unknown): value is Target {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {upstream, service, node, domain, gateUrl, channelAddress, rpcAddress, available, slots} = value as {readonly [Field in keyof Target]?: unknown};
	const areNamesValid = [upstream, service, node, domain].every(name => typeof name === 'string' && name !== '');
	const areAddressesValid = isAddress(rpcAddress) && (channelAddress === undefined || isAddress(channelAddress)) && typeof gateUrl === 'string' && URL.canParse(gateUrl);
	return areNamesValid && areAddressesValid && typeof available === 'boolean' && isSlotCount(slots);
}

function isAddress(value: unknown): boolean {
	const port = typeof value === 'string' ? Number(addressPattern.exec(value)?.[1] ?? 0) : 0;
	return port > 0 && port <= maximumPort;
}

function isSlotCount(value: unknown): boolean {
	return typeof value === 'number' && Number.isInteger(value) && value >= 1 && value <= maximumSlots;
}
