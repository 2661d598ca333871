import {expect} from 'chai';
import {createMemberId, type MemberId} from '@fireflyglade/model';
import {planMembershipRepair, type MembershipView} from './index.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => createMemberId(name)) as [MemberId, MemberId, MemberId, MemberId];

const createView = (contactAges: ReadonlyMap<MemberId, number>, change: Partial<MembershipView> = {}): MembershipView => ({
	members: {voters: [a, b, c], learners: []},
	caughtUpLearners: [],
	addresses: new Map([...contactAges.keys()].map(member => [member, `10.0.0.${member}:7000`])),
	millisecondsSinceContact: member => contactAges.get(member),
	millisecondsObserved: 60_000,
	minimumVoters: 3,
	...change,
});

describe('planMembershipRepair', () => {
	it('does not change a group whose members are all present', () => {
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 500]])))).to.equal(undefined);
	});

	it('keeps an unreachable voter while there is no successor', () => {
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 60_000]])))).to.equal(undefined);
	});

	it('adds a process that introduces itself as a learner and makes it a voter once it has caught up', () => {
		const contactAges = new Map([[a, 0], [b, 400], [c, 400], [d, 100]]);
		expect(planMembershipRepair(createView(contactAges))).to.deep.equal({action: 'add', member: d});
		const members = {voters: [a, b, c], learners: [d]};
		expect(planMembershipRepair(createView(contactAges, {members}))).to.equal(undefined);
		expect(planMembershipRepair(createView(contactAges, {members, caughtUpLearners: [d]}))).to.deep.equal({action: 'add', member: d});
	});

	it('removes the member whose disk was lost once its successor is a voter', () => {
		const contactAges = new Map([[a, 0], [b, 400], [c, 3000], [d, 100]]);
		const addresses = new Map([[a, '1'], [b, '2'], [c, '3'], [d, '3']]);
		const members = {voters: [a, b, c, d], learners: []};
		expect(planMembershipRepair(createView(contactAges, {members, addresses}))).to.deep.equal({action: 'remove', member: c});
	});

	it('removes an unreachable voter from an even number of voters, which does not lower the fault tolerance', () => {
		const members = {voters: [a, b, c, d], learners: []};
		const view = (contactAge: number) => createView(new Map([[a, 0], [b, 400], [c, contactAge], [d, 100]]), {members});
		expect(planMembershipRepair(view(2000))).to.equal(undefined);
		expect(planMembershipRepair(view(3000))).to.deep.equal({action: 'remove', member: c});
	});

	it('removes no voter and no learner that a new leader has not heard of yet, as they may not have introduced themselves since a restart or a partition', () => {
		const members = {voters: [a, b, c, d], learners: []};
		const view = (millisecondsObserved: number) => createView(new Map([[a, 0], [b, 400], [c, 60_000]]), {members, millisecondsObserved});
		expect(planMembershipRepair(view(300))).to.equal(undefined);
		expect(planMembershipRepair(view(2600))).to.deep.equal({action: 'remove', member: c});
		const withLearner = {voters: [a, b, c], learners: [d]};
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 400]]), {members: withLearner, millisecondsObserved: 9000}))).to.equal(undefined);
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 400]]), {members: withLearner, millisecondsObserved: 11_000}))).to.deep.equal({action: 'remove', member: d});
	});

	it('removes no voter below the minimum number of voters', () => {
		const members = {voters: [a, b], learners: []};
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 60_000]]), {members, minimumVoters: 3}))).to.equal(undefined);
	});
});
