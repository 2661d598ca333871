/**
Chooses the gateways of a domain: the nodes that exchange probes and updates with
other domains.

The choice needs no agreement: nodes that see the same members choose the same
gateways, and a difference only causes an additional message.
*/

import {gatewayCount} from '../_lib/constants.js';
import type {MemberRecord} from '../_lib/messages.js';
import {hashText} from '../member-table/index.js';

/** Chooses the gateways among the members of one domain, by the lowest hashes of their ids. */
export function chooseGateways(members: readonly MemberRecord[]): MemberRecord[] {
	const ranked = members.map(record => ({record, rank: hashText(record.description.node)}));
	ranked.sort((first, second) => first.rank - second.rank);
	return ranked.slice(0, gatewayCount).map(({record}) => record);
}
