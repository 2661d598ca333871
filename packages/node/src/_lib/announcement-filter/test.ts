import {expect} from 'chai';
import {createServiceName} from '@fireflyglade/model';
import {AnnouncementFilter, type UpstreamAnnouncement} from './index.js';

const createStatement = (change: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement => ({
	instance: 'i-1', bornAt: 1000, sequence: 1, isLeaving: false, service: createServiceName('orders'), address: '10.0.0.1:8080', slots: 8, connections: 10, ...change,
});

describe('UpstreamStatements', () => {
	it('takes statements in their order', () => {
		const statements = new AnnouncementFilter();
		expect(statements.accept(createStatement())).to.equal('taken');
		expect(statements.accept(createStatement({sequence: 2}))).to.equal('taken');
	});

	it('passes over one that is repeated or came late', () => {
		const statements = new AnnouncementFilter();
		statements.accept(createStatement({sequence: 5}));
		expect(statements.accept(createStatement({sequence: 5}))).to.equal('outdated');
		expect(statements.accept(createStatement({sequence: 4}))).to.equal('outdated');
	});

	it('passes over one of an earlier upstream at the same address', () => {
		const statements = new AnnouncementFilter();
		statements.accept(createStatement({instance: 'i-2', bornAt: 2000}));
		expect(statements.accept(createStatement({sequence: 90}))).to.equal('outdated');
	});

	it('takes a new start under the same name, whose counts begin anew', () => {
		const statements = new AnnouncementFilter();
		statements.accept(createStatement({sequence: 90}));
		expect(statements.accept(createStatement({bornAt: 3000, sequence: 1}))).to.equal('taken');
	});

	it('does not take an upstream back that has left', () => {
		const statements = new AnnouncementFilter();
		statements.accept(createStatement({sequence: 3, isLeaving: true}));
		expect(statements.accept(createStatement({sequence: 4}))).to.equal('outdated');
		expect(statements.accept(createStatement({sequence: 5, isLeaving: true}))).to.equal('taken');
		expect(statements.accept(createStatement({bornAt: 9000, sequence: 1}))).to.equal('taken');
	});

	it('knows whether the one that takes its leave is the newest', () => {
		const statements = new AnnouncementFilter();
		statements.accept(createStatement());
		expect(statements.leave('i-0')).to.equal(false);
		expect(statements.leave('i-1')).to.equal(true);
		expect(statements.accept(createStatement({sequence: 2}))).to.equal('outdated');
	});
});
