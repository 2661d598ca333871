import {Socket} from 'node:net';
import {expect} from 'chai';
import {ConnectionBudget} from '../../connection-budget/index.js';
import {AcceptedConnections, type ConnectionUse} from './index.js';

describe('AcceptedConnections', () => {
	let now: number;
	let budget: ConnectionBudget;
	let uses: Map<Socket, ConnectionUse>;
	let connections: AcceptedConnections;

	beforeEach(() => {
		now = 0;
		budget = new ConnectionBudget(100);
		uses = new Map();
		connections = new AcceptedConnections({
			budget, maximum: 2, getUse: socket => uses.get(socket), now: () => now,
		});
	});

	function admit(use: Partial<ConnectionUse> = {}): {readonly socket: Socket; readonly isAdmitted: boolean} {
		const socket = new Socket();
		uses.set(socket, {isIdle: true, lastUsedAt: now, ...use});
		return {socket, isAdmitted: connections.admit(socket)};
	}

	it('refuses a connection while the others were used just now or are in use', () => {
		admit();
		admit({isIdle: false});
		now = 900;
		expect(admit().isAdmitted).to.equal(false);
	});

	// Guards against: idle connections keep other callers out.
	it('closes the one that has been idle for the longest time for a new one', () => {
		const {socket: longestIdle} = admit();
		now = 500;
		const {socket: other} = admit();
		now = 3000;
		expect(admit().isAdmitted).to.equal(true);
		expect(longestIdle.destroyed).to.equal(true);
		expect(other.destroyed).to.equal(false);
	});

	it('refuses a connection while all listeners together have too many', () => {
		for (let open = 0; open < 75; open++) {
			budget.open();
		}

		expect(admit().isAdmitted).to.equal(false);
		budget.close();
		expect(admit().isAdmitted).to.equal(true);
	});
});
