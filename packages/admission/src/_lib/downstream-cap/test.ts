import {expect} from 'chai';
import {SampleWindow} from '../sample-window/index.js';
import {DownstreamCap} from './index.js';

const slots = 40;

/** A window of requests that took 100 ms and waited `queuedBelow` ms below in addition. */
function createWindow(inFlight: number, queuedBelow: number): SampleWindow {
	const window = new SampleWindow(0);
	window.observeInFlight(inFlight);
	window.record({startedAt: 0, outcome: 'success', downstreamQueueingMilliseconds: queuedBelow}, 100 + queuedBelow);
	return window;
}

describe('DownstreamCap', () => {
	it('comes down while requests wait below and goes back up when they no longer do', () => {
		const cap = new DownstreamCap();
		expect(cap.current(slots)).to.equal(slots);
		for (let count = 0; count < 20; count++) {
			cap.observe(createWindow(Math.floor(cap.current(slots)), Math.max(0, (cap.current(slots) - 10) * 10)), slots);
		}

		expect(cap.current(slots)).to.be.within(9, 14);
		for (let count = 0; count < 20; count++) {
			cap.observe(createWindow(5, 0), slots);
		}

		expect(cap.current(slots)).to.equal(slots);
	});

	it('keeps a part of the slots whatever the waiting', () => {
		const cap = new DownstreamCap();
		for (let count = 0; count < 100; count++) {
			cap.observe(createWindow(1, 10_000), slots);
		}

		expect(cap.current(slots)).to.equal(4);
	});
});
