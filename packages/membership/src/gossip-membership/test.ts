import {expect} from 'chai';
import {createFailureDomain, type KeyId} from '@fireflyglade/model';
import {
	createConfiguration, SimulatedNetwork, nodeIdOf, describeNode,
} from '../test-support/simulated-network/index.js';
import {GossipMembership} from './index.js';

const north = createFailureDomain('north');

function startFleet(domains: readonly string[], perDomain: number): SimulatedNetwork {
	const network = new SimulatedNetwork();
	for (const domain of domains) {
		for (let index = 0; index < perDomain; index++) {
			const seeds = domains.map(other => describeNode(other, 0).rpcAddress);
			network.start(describeNode(domain, index), seeds);
		}
	}

	const configuration = createConfiguration(1, domains);
	for (const [address, member] of network.members) {
		network.applyActions(address, member.setConfiguration(configuration, network.now));
	}

	return network;
}

function every(network: SimulatedNetwork, check: (member: GossipMembership) => boolean): boolean {
	return [...network.members.values()].every(member => check(member));
}

function memberState(member: GossipMembership, node: string): string | undefined {
	return member.members().find(view => view.description.node === node)?.state;
}

describe('GossipMembership', () => {
	it('spreads all members to every node of every domain within 6 s', () => {
		const network = startFleet(['north', 'south', 'west'], 5);
		expect(network.runUntil(() => every(network, member => member.members().length === 15), 6000)).to.be.a('number');
	});

	it('declares a stopped node dead in its domain and in others, and no other node', () => {
		const network = startFleet(['north', 'south'], 6);
		network.run(8000);
		network.kill('north-4:1');
		expect(network.runUntil(() => every(network, member => memberState(member, 'north-4') === 'dead'), 15_000)).to.be.a('number');
		const others = [...network.members.values()].flatMap(member => member.members()).filter(view => view.state !== 'alive');
		expect(new Set(others.map(view => view.description.node))).to.deep.equal(new Set(['north-4']));
	});

	it('marks a restarted node as alive again', () => {
		const network = startFleet(['north'], 4);
		network.run(4000);
		network.kill('north-3:1');
		network.run(12_000);
		network.start(describeNode('north', 3), ['north-0:1']);
		expect(network.runUntil(() => every(network, member => memberState(member, 'north-3') === 'alive'), 8000)).to.be.a('number');
	});

	it('informs a restarted node of all members and the lease holder within 100 ms after seeds are added', () => {
		const network = startFleet(['north', 'south', 'west'], 6);
		network.run(8000);
		network.kill('north-3:1');
		network.run(700);
		const restarted = network.start(describeNode('north', 3), []);
		network.run(300);
		expect(restarted.hasJoined(network.now), 'joined before it was given seeds').to.equal(false);
		network.applyActions('north-3:1', restarted.addSeeds(['north-0:1', 'south-0:1'], network.now));
		expect(network.runUntil(() => restarted.hasJoined(network.now), 100)).to.be.a('number');
		expect(restarted.members()).to.have.length(18);
		expect(restarted.lease('holder', north, network.now)?.holder).to.be.a('string');
	});

	it('joins through another seed within 1 s if one does not respond, and counts as joined alone after 2 s', () => {
		const network = startFleet(['north'], 4);
		network.run(4000);
		network.isLost = (from, to) => from === 'north-9:1' || to === 'north-9:1';
		const alone = network.start(describeNode('north', 9), []);
		network.applyActions('north-9:1', alone.addSeeds(['north-0:1', 'north-1:1'], network.now));
		network.run(1900);
		expect(alone.hasJoined(network.now)).to.equal(false);
		network.run(200);
		expect(alone.hasJoined(network.now)).to.equal(true);

		network.isLost = (_, to) => to === 'north-0:1';
		const late = network.start(describeNode('north', 8), []);
		network.applyActions('north-8:1', late.addSeeds(['north-0:1', 'north-1:1'], network.now));
		expect(network.runUntil(() => late.hasJoined(network.now), 1000)).to.be.a('number');
		expect(late.members().length).to.be.at.least(5);
	});

	it('sends a join request at once when seeds are added late, and does not count as joined before', () => {
		const late = new GossipMembership({
			self: describeNode('north', 3), seeds: [], isDiscovering: true, randomSeed: 1, incarnation: 1, now: 0,
		});
		for (let now = 100; now <= 2500; now += 100) {
			late.tick(now);
		}

		expect(late.hasJoined(2500), 'joined before it was given seeds').to.equal(false);
		const {messages} = late.addSeeds(['north-0:1'], 2500);
		expect(messages.map(({toAddress}) => toAddress)).to.deep.equal(['north-0:1']);
		expect(late.hasJoined(4400)).to.equal(false);
		expect(late.hasJoined(4500), 'joined alone after 2 s without a response').to.equal(true);
	});

	it('elects one lease holder per domain, and never two when holders are cut off', () => {
		const network = startFleet(['north', 'south'], 5);
		network.run(6000);
		expect(network.holders(north)).to.have.length(1);
		for (let round = 0; round < 12; round++) {
			const [holder] = network.holders(north);
			network.isLost = (from, to) => holder !== undefined && (from === `${holder}:1` || to === `${holder}:1`);
			for (let step = 0; step < 100; step++) {
				network.run(50);
				expect(network.holders(north).length).to.be.at.most(1);
			}

			network.isLost = () => false;
			network.run(round * 130);
		}

		network.run(5000);
		expect(network.holders(north)).to.have.length(1);
	});

	it('raises the fencing number with each new lease holder', () => {
		const network = startFleet(['north'], 5);
		network.run(5000);
		const witness = network.members.get('north-4:1')!;
		const before = witness.lease('holder', north, network.now)!;
		network.kill(`${before.holder}:1`);
		expect(network.runUntil(() => (witness.lease('holder', north, network.now)?.fencing ?? 0) > before.fencing, 4000)).to.be.a('number');
	});

	it('replaces a dead lease holder within 4 s when only a bare majority of the witnesses is left and messages are delayed', () => {
		for (let offset = 0; offset < 20; offset++) {
			const network = startFleet(['north'], 3);
			network.maximumDelaySteps = 2;
			network.run(6000 + (offset * 50));
			const [holder] = network.holders(north);
			network.kill(`${holder!}:1`);
			expect(network.runUntil(() => network.holders(north).length === 1, 4000), `offset ${offset}`).to.be.a('number');
		}
	});

	it('makes the only node of a domain its lease holder without configured witnesses', () => {
		const network = new SimulatedNetwork();
		network.start(describeNode('north', 0), ['north-0:1']);
		network.run(5000);
		expect(network.holders(north)).to.deep.equal([nodeIdOf('north', 0)]);
	});

	it('spreads a withdrawn key to all domains within 2 s', () => {
		const network = startFleet(['north', 'south', 'west'], 8);
		network.run(8000);
		network.applyActions('north-5:1', network.members.get('north-5:1')!.withdrawKeys(['k1' as KeyId], network.now));
		const key = 'k1' as KeyId;
		expect(network.runUntil(() => every(network, member => member.withdrawnKeys().has(key)), 2000)).to.be.a('number');
	});

	it('distinguishes a control outage from being cut off', () => {
		const network = startFleet(['north', 'south', 'west'], 3);
		network.members.get('north-0:1')!.observeQuorum(0);
		network.run(4000);
		const member = network.members.get('north-1:1')!;
		expect(member.connectivity(network.now).kind).to.equal('connected');
		network.run(8000);
		expect(member.connectivity(network.now).kind).to.equal('control-outage');
		network.isLost = (from, to) => from.slice(0, 5) !== to.slice(0, 5);
		network.run(12_000);
		expect(member.connectivity(network.now).kind).to.equal('cut-off');
		network.isLost = () => false;
		network.run(12_000);
		expect(member.connectivity(network.now).kind).to.equal('control-outage');
	});

	it('reports a newer revision and the address to fetch it from', () => {
		const network = startFleet(['north', 'south'], 4);
		network.run(5000);
		network.events.clear();
		const first = network.members.get('north-1:1')!;
		network.applyActions('north-1:1', first.setConfiguration(createConfiguration(2, ['north', 'south']), network.now));
		network.run(1000);
		const events = [...network.events.values()].flat();
		expect(events).to.deep.include({kind: 'newer-revision', revision: 2, rpcAddress: 'north-1:1'});
	});
});
