import {expect} from 'chai';
import {ManualClock} from '@fireflyglade/model';
import {NoQuorumError} from '../../errors/index.js';
import {PendingAnswers} from './index.js';

async function catchError(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
	} catch (error: unknown) {
		return error;
	}

	return undefined;
}

describe('PendingAnswers', () => {
	it('delivers each answer to the caller that waits for its id', async () => {
		const pending = new PendingAnswers<string>(new ManualClock());
		const first = pending.wait(1, 100);
		const second = pending.wait(2, 100);
		expect(pending.resolve(2, 'two')).to.equal(true);
		expect(pending.resolve(1, 'one')).to.equal(true);
		expect([await first, await second]).to.deep.equal(['one', 'two']);
		expect(pending.resolve(1, 'again')).to.equal(false);
	});

	it('rejects an answer that does not arrive before the timeout', async () => {
		const clock = new ManualClock();
		const pending = new PendingAnswers<string>(clock);
		const error = catchError(pending.wait(1, 100));
		clock.advance(100);
		expect(await error).to.be.instanceOf(NoQuorumError);
		expect(pending.size).to.equal(0);
	});

	it('rejects all pending answers at shutdown', async () => {
		const pending = new PendingAnswers<string>(new ManualClock());
		const errors = [catchError(pending.wait(1, 100)), catchError(pending.wait(2, 100))];
		const reason = new NoQuorumError('the process shuts down');
		pending.rejectAll(reason);
		expect(await Promise.all(errors)).to.deep.equal([reason, reason]);
	});
});
