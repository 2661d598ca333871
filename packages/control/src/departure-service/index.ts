/**
Records the departures of upstreams in the replicated log and finds them again for
nodes that have restarted.
*/

import type {Clock} from '@fireflyglade/model';
import type {
	DepartureAnswer, DepartureCall, DepartureCallResponse, DepartureQuestion,
} from '@fireflyglade/transport';
import type {CommandProposer} from '../command-proposer/index.js';
import {NoQuorumError} from '../errors/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** Dependencies of the departure service. */
export type DepartureServiceOptions = {
	readonly log: Pick<ReplicatedLog, 'stateMachine'>;
	readonly proposer: Pick<CommandProposer, 'submit'>;
	readonly clock: Clock;
	/** Confirms that the state machine is current; false without a quorum. */
	readonly confirmCurrent: () => Promise<boolean>;
};

/** Records and finds departures. */
export class DepartureService {
	readonly #options: DepartureServiceOptions;

	constructor(options: DepartureServiceOptions) {
		this.#options = options;
	}

	/** Commits a departure to the replicated log. */
	async record({departure}: DepartureCall): Promise<DepartureCallResponse> {
		const {proposer, clock} = this.#options;
		try {
			await proposer.submit({kind: 'record-departure', departure, at: clock.wallNow()});
			return {kind: 'recorded'};
		} catch (error: unknown) {
			if (error instanceof NoQuorumError) {
				return {kind: 'no-quorum'};
			}

			throw error;
		}
	}

	/** Finds the departures at an address, among them all that were acknowledged before the call. */
	async answer({address}: DepartureQuestion): Promise<DepartureAnswer> {
		const {log, confirmCurrent} = this.#options;
		return await confirmCurrent() ? {kind: 'known', departures: log.stateMachine().departuresAt(address)} : {kind: 'no-quorum'};
	}
}
