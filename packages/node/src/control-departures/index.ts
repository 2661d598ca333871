/**
Records departures of the upstream beside a node through the control processes, and
finds them again after a restart of the node.
*/

import {FireflygladeError, type UpstreamDeparture} from '@fireflyglade/model';
import {findDeparturesMethod, recordDepartureMethod, type RpcClient} from '@fireflyglade/transport';
import type {DepartureLog} from '../dependencies.js';
import {ControlCaller} from '../_lib/control-caller/index.js';

/** Thrown when no quorum of the control processes recorded or confirmed a departure. */
export class DepartureLogError extends FireflygladeError {
	get code(): 'departure-log-failed' {
		return 'departure-log-failed';
	}
}

/** Options of `ControlDepartures`. */
export type ControlDeparturesOptions = {
	readonly client: RpcClient;
	/** Returns the RPC addresses of control processes. */
	readonly control: () => readonly string[];
};

/** Time that one control process has to answer, so that a second one can be called before the upstream gives up its notice. */
const callTimeoutMilliseconds = 400;

/** The departures in the replicated log of the control processes. */
export class ControlDepartures implements DepartureLog {
	readonly #caller: ControlCaller;

	constructor(options: ControlDeparturesOptions) {
		this.#caller = new ControlCaller({...options, timeoutMilliseconds: callTimeoutMilliseconds});
	}

	/**
	Records a departure.

	@throws {DepartureLogError} No quorum accepted the departure; it may be recorded all the same.
	*/
	async record(departure: UpstreamDeparture): Promise<void> {
		const answer = await this.#caller.call(recordDepartureMethod, {departure}, ({kind}) => kind === 'recorded');
		if (answer === undefined) {
			throw new DepartureLogError('no quorum of the control processes recorded the departure');
		}
	}

	/**
	Finds the departures at an address.

	@throws {DepartureLogError} No quorum confirmed that these are all.
	*/
	async find(address: string): Promise<readonly UpstreamDeparture[]> {
		const answer = await this.#caller.call(findDeparturesMethod, {address}, ({kind}) => kind === 'known');
		if (answer?.kind !== 'known') {
			throw new DepartureLogError('no quorum of the control processes confirmed the departures');
		}

		return answer.departures;
	}
}
