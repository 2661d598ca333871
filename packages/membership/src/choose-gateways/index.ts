/**
The choice of the nodes that exchange probes and news with other domains.

The choice needs no agreement: every member of a domain that sees the same
members chooses the same few, and a difference costs only a message more.
*/

import {gatewayCount} from '../_lib/constants.js';
import type {MemberRecord} from '../_lib/messages.js';
import {hashText} from '../member-table/index.js';

/** Chooses the gateways among the members of one domain. */
export function chooseGateways(members: readonly MemberRecord[]): MemberRecord[] {
	const ranked = members.map(record => ({record, rank: hashText(record.description.node)}));
	ranked.sort((first, second) => first.rank - second.rank);
	return ranked.slice(0, gatewayCount).map(({record}) => record);
}
