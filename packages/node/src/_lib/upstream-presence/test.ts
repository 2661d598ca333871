import {expect} from 'chai';
import {
	createServiceName, InvalidInputError, ManualClock, type UpstreamDeparture,
} from '@fireflyglade/model';
import {DepartureLogError} from '../../control-departures/index.js';
import type {DepartureLog} from '../../dependencies.js';
import type {UpstreamAnnouncement} from '../announcement-filter/index.js';
import {catchError} from '../../test-support/catch-error.js';
import {UpstreamPresence} from './index.js';

const address = '10.0.0.1:8080';

const createAnnouncement = (change: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement => ({
	instance: 'i-1', bornAt: 1000, sequence: 1, isLeaving: false, service: createServiceName('orders'), address, slots: 8, connections: 10, ...change,
});

/** Departures in memory, which outlive the presences of a test. */
class FakeDepartures implements DepartureLog {
	readonly recorded: UpstreamDeparture[] = [];
	hasQuorum = true;

	async record(departure: UpstreamDeparture): Promise<void> {
		this.#checkQuorum();
		this.recorded.push(departure);
	}

	async find(address: string): Promise<readonly UpstreamDeparture[]> {
		this.#checkQuorum();
		return this.recorded.filter(departure => departure.address === address);
	}

	#checkQuorum(): void {
		if (!this.hasQuorum) {
			throw new DepartureLogError('no quorum');
		}
	}
}

/** Lets the answers of the fake departures arrive. */
async function settle(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

describe('UpstreamPresence', () => {
	let clock: ManualClock;
	let departures: FakeDepartures;
	/** The sequence of the present upstream's newest announcement; `undefined` if there is no upstream. */
	let present: number | undefined;

	beforeEach(() => {
		clock = new ManualClock(50_000);
		departures = new FakeDepartures();
		present = undefined;
	});

	/** Starts a presence as a new process of the node does. */
	const start = (): UpstreamPresence => {
		present = undefined;
		const presence = new UpstreamPresence({
			clock,
			address,
			departures,
			onPresent({sequence}) {
				present = sequence;
			},
			onLeft() {
				present = undefined;
			},
		});
		presence.start();
		return presence;
	};

	it('uses an upstream that announced itself before the lookup has ended', async () => {
		departures.hasQuorum = false;
		const presence = start();
		await settle();
		expect(await presence.announce(createAnnouncement())).to.equal('deferred');
		expect(present).to.equal(undefined);
		departures.hasQuorum = true;
		clock.advance(200);
		await settle();
		expect(present).to.equal(1);
		expect(await presence.announce(createAnnouncement({sequence: 2}))).to.equal('taken');
	});

	// Guards against: requests reach an upstream after its departure was acknowledged, because its node restarted.
	const useAfterRestart = async (leave: (presence: UpstreamPresence) => Promise<unknown>, isRestartedBefore: boolean): Promise<void> => {
		let presence = start();
		await settle();
		await presence.announce(createAnnouncement());
		presence = isRestartedBefore ? start() : presence;
		await leave(presence);
		presence = start();
		await presence.announce(createAnnouncement({sequence: 2}));
		await settle();
		expect(present).to.equal(undefined);
		expect(await presence.announce(createAnnouncement({sequence: 2}))).to.equal('outdated');
		expect(await presence.announce(createAnnouncement({bornAt: 90_000}))).to.equal('taken');
	};

	for (const [name, leave] of [
		['leave notice', async (presence: UpstreamPresence) => presence.leave({instance: 'i-1', bornAt: 1000})],
		['leave notice without a start time', async (presence: UpstreamPresence) => presence.leave({instance: 'i-1'})],
		['announcement that it leaves', async (presence: UpstreamPresence) => presence.announce(createAnnouncement({sequence: 3, isLeaving: true}))],
	] as const) {
		for (const isRestartedBefore of [false, true]) {
			it(`does not use an upstream after a restart and a ${name}${isRestartedBefore ? ' that came after another restart' : ''}`, async () => useAfterRestart(leave, isRestartedBefore));
		}
	}

	it('acknowledges a departure only once it is recorded, also that of a resend', async () => {
		const presence = start();
		await settle();
		await presence.announce(createAnnouncement());
		departures.hasQuorum = false;
		const leaving = createAnnouncement({sequence: 2, isLeaving: true});
		expect(await catchError(presence.announce(leaving))).to.be.instanceOf(DepartureLogError);
		expect(present).to.equal(undefined);
		expect(await catchError(presence.announce(leaving))).to.be.instanceOf(DepartureLogError);
		expect(await catchError(presence.leave({instance: 'i-1'}))).to.be.instanceOf(DepartureLogError);
		departures.hasQuorum = true;
		await presence.announce(leaving);
		await presence.announce(createAnnouncement({sequence: 3, isLeaving: true}));
		expect(departures.recorded).to.deep.equal([{address, instance: 'i-1', bornAt: 1000}]);
	});

	it('keeps the present upstream when an unknown one leaves without a start time', async () => {
		const presence = start();
		await settle();
		await presence.announce(createAnnouncement());
		await presence.leave({instance: 'i-0'});
		expect(present).to.equal(1);
	});

	it('accepts new announcements without a quorum after 5 seconds, and applies a departure that it learns later', async () => {
		await start().leave({instance: 'i-1', bornAt: 1000});
		departures.hasQuorum = false;
		const presence = start();
		await presence.announce(createAnnouncement());
		for (let elapsed = 0; elapsed <= 5000; elapsed += 200) {
			await settle();
			clock.advance(200);
		}

		await settle();
		expect(present).to.equal(undefined);
		expect(await presence.announce(createAnnouncement({sequence: 2}))).to.equal('taken');
		departures.hasQuorum = true;
		clock.advance(200);
		await settle();
		expect(present).to.equal(undefined);
		presence.close();
	});

	// Guards against: an entry of another writer takes the place of the sound upstream, and keeps it out.
	it('refuses announcements and notices that name a start in the future', async () => {
		const presence = start();
		await settle();
		await presence.announce(createAnnouncement());
		expect(await presence.announce(createAnnouncement({instance: 'i-9', bornAt: Number.MAX_SAFE_INTEGER}))).to.equal('not-started');
		expect(await catchError(presence.leave({instance: 'i-1', bornAt: Number.MAX_SAFE_INTEGER}))).to.be.instanceOf(InvalidInputError);
		expect(await presence.announce(createAnnouncement({sequence: 2}))).to.equal('taken');
	});

	it('ignores announcements of an upstream at another address', async () => {
		expect(await start().announce(createAnnouncement({address: '10.0.0.9:8080'}))).to.equal('of-another-upstream');
	});
});
