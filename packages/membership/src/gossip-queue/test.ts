import {expect} from 'chai';
import {createNodeId, type KeyId, type Revision} from '@fireflyglade/model';
import type {GossipUpdate} from '../_lib/messages.js';
import {GossipQueue} from './index.js';

const memberCount = 360;
const withdrawn: GossipUpdate = {kind: 'withdrawn', keys: ['key-1' as KeyId]};

function pulseOf(number: number): GossipUpdate {
	return {
		kind: 'pulse', pulse: {
			node: createNodeId(`node-${number}`), incarnation: 1, sequence: 1, revision: 0 as Revision,
		},
	};
}

function createFullQueue(): GossipQueue {
	const queue = new GossipQueue();
	for (let number = 0; number < memberCount; number++) {
		queue.add(pulseOf(number), 0);
	}

	return queue;
}

describe('GossipQueue', () => {
	it('sends withdrawn keys with every message while other updates wait', () => {
		const queue = createFullQueue();
		for (let message = 0; message < 5; message++) {
			queue.add(withdrawn, 0);
			queue.take(memberCount, true, 0);
			queue.take(memberCount, true, 0);
			expect(queue.take(memberCount, true, 0)).to.deep.include(withdrawn);
		}
	});

	it('stops sending withdrawn keys after a bounded number of messages', () => {
		const queue = createFullQueue();
		queue.add(withdrawn, 0);
		const sends = Array.from({length: 200}, () => queue.take(memberCount, true, 0)).filter(updates => updates.includes(withdrawn)).length;
		expect(sends).to.be.within(1, 40);
	});

	it('does not send updates that are too old', () => {
		const queue = new GossipQueue();
		queue.add(withdrawn, 0);
		expect(queue.take(memberCount, true, 60_000)).to.deep.equal([]);
	});
});
