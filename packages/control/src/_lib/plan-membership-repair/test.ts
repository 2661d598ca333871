import {expect} from 'chai';
import {createMemberId, type MemberId} from '@fireflyglade/model';
import {planMembershipRepair, type MembershipView} from './index.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => createMemberId(name)) as [MemberId, MemberId, MemberId, MemberId];

const createView = (silence: ReadonlyMap<MemberId, number>, change: Partial<MembershipView> = {}): MembershipView => ({
	members: {voters: [a, b, c], learners: []},
	caughtUpLearners: [],
	addresses: new Map([...silence.keys()].map(member => [member, `10.0.0.${member}:7000`])),
	millisecondsSinceContact: member => silence.get(member),
	minimumVoters: 3,
	...change,
});

describe('nextMemberRepair', () => {
	it('leaves a whole group as it is', () => {
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 500]])))).to.equal(undefined);
	});

	it('leaves a silent voter in its place where nobody can take it', () => {
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 400], [c, 60_000]])))).to.equal(undefined);
	});

	it('takes in whoever introduces itself, first without a vote', () => {
		const silence = new Map([[a, 0], [b, 400], [c, 400], [d, 100]]);
		expect(planMembershipRepair(createView(silence))).to.deep.equal({action: 'add', member: d});
		const members = {voters: [a, b, c], learners: [d]};
		expect(planMembershipRepair(createView(silence, {members}))).to.equal(undefined);
		expect(planMembershipRepair(createView(silence, {members, caughtUpLearners: [d]}))).to.deep.equal({action: 'add', member: d});
	});

	it('removes the member whose disk was lost once its successor votes', () => {
		const silence = new Map([[a, 0], [b, 400], [c, 3000], [d, 100]]);
		const addresses = new Map([[a, '1'], [b, '2'], [c, '3'], [d, '3']]);
		const members = {voters: [a, b, c, d], learners: []};
		expect(planMembershipRepair(createView(silence, {members, addresses}))).to.deep.equal({action: 'remove', member: c});
	});

	it('removes a silent voter of an even group, which costs no tolerance', () => {
		const members = {voters: [a, b, c, d], learners: []};
		const view = (silent: number) => createView(new Map([[a, 0], [b, 400], [c, silent], [d, 100]]), {members});
		expect(planMembershipRepair(view(2000))).to.equal(undefined);
		expect(planMembershipRepair(view(3000))).to.deep.equal({action: 'remove', member: c});
	});

	it('removes no voter below the least number', () => {
		const members = {voters: [a, b], learners: []};
		expect(planMembershipRepair(createView(new Map([[a, 0], [b, 60_000]]), {members, minimumVoters: 3}))).to.equal(undefined);
	});
});
