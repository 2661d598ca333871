import {expect} from 'chai';
import {ServiceTimes} from './index.js';

describe('ServiceTimes', () => {
	it('uses own latencies only for classes that no gate has reported, and only while gates report', () => {
		const times = new ServiceTimes();
		times.recordLatency(1, 40);
		expect(times.mean(1, 0)).to.equal(undefined);
		times.recordReport(2, 80, 0);
		expect([times.mean(1, 0), times.mean(2, 0), times.mean(3, 0)]).to.deep.equal([40, 80, undefined]);
		times.recordReport(1, 60, 0);
		expect(times.mean(1, 0)).to.equal(60);
		expect(times.mean(1, 30_001)).to.equal(undefined);
	});

	it('keeps a bounded number of classes, so that callers\' routes can\'t fill the memory', () => {
		const times = new ServiceTimes();
		for (let workClass = 0; workClass < 200; workClass++) {
			times.recordReport(workClass, 80, 0);
		}

		expect([times.mean(0, 0), times.mean(199, 0)]).to.deep.equal([undefined, 80]);
	});
});
