import {expect} from 'chai';
import {createServiceName} from '@fireflyglade/model';
import {AnnouncementFilter, type UpstreamAnnouncement} from './index.js';

const createAnnouncement = (change: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement => ({
	instance: 'i-1', bornAt: 1000, sequence: 1, isLeaving: false, service: createServiceName('orders'), address: '10.0.0.1:8080', slots: 8, connections: 10, ...change,
});

describe('AnnouncementFilter', () => {
	it('accepts announcements in order', () => {
		const filter = new AnnouncementFilter();
		expect(filter.accept(createAnnouncement())).to.equal('taken');
		expect(filter.accept(createAnnouncement({sequence: 2}))).to.equal('taken');
	});

	it('rejects a repeated or late announcement', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement({sequence: 5}));
		expect(filter.accept(createAnnouncement({sequence: 5}))).to.equal('outdated');
		expect(filter.accept(createAnnouncement({sequence: 4}))).to.equal('outdated');
	});

	it('rejects an announcement of an earlier upstream at the same address', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement({instance: 'i-2', bornAt: 2000}));
		expect(filter.accept(createAnnouncement({sequence: 90}))).to.equal('outdated');
	});

	it('accepts a new start of the same instance, whose sequence restarts', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement({sequence: 90}));
		expect(filter.accept(createAnnouncement({bornAt: 3000, sequence: 1}))).to.equal('taken');
	});

	it('rejects announcements after an upstream left, until it has restarted', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement({sequence: 3, isLeaving: true}));
		expect(filter.accept(createAnnouncement({sequence: 4}))).to.equal('outdated');
		expect(filter.accept(createAnnouncement({sequence: 5, isLeaving: true}))).to.equal('taken');
		expect(filter.accept(createAnnouncement({bornAt: 9000, sequence: 1}))).to.equal('taken');
	});

	it('reports whether the upstream that leaves is the newest', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement());
		expect(filter.leave({instance: 'i-0', bornAt: 1000})).to.equal(false);
		expect(filter.leave({instance: 'i-1', bornAt: 1000})).to.equal(true);
		expect(filter.accept(createAnnouncement({sequence: 2}))).to.equal('outdated');
	});

	// Guards against: a late leave notice of an earlier start keeps a restarted upstream out for good.
	it('keeps an upstream that has restarted under its name when the notice of the earlier start is late', () => {
		const filter = new AnnouncementFilter();
		filter.accept(createAnnouncement({sequence: 9}));
		filter.accept(createAnnouncement({bornAt: 5000}));
		expect(filter.leave({instance: 'i-1', bornAt: 1000})).to.equal(false);
		expect(filter.accept(createAnnouncement({bornAt: 5000, sequence: 2}))).to.equal('taken');
	});
});
