import {expect} from 'chai';
import {SampleWindow} from '../sample-window/index.js';
import {DownstreamCap} from './index.js';

const slots = 40;

/** Creates a window with one request that took 100 ms plus `downstreamQueueing` ms of queueing at downstream gates. */
function createWindow(inFlight: number, downstreamQueueing: number): SampleWindow {
	const window = new SampleWindow(0);
	window.observeInFlight(inFlight);
	window.record({startedAt: 0, outcome: 'success', downstreamQueueingMilliseconds: downstreamQueueing}, 100 + downstreamQueueing);
	return window;
}

describe('DownstreamCap', () => {
	it('lowers the cap while requests queue downstream and raises it once they no longer do', () => {
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

	it('keeps a minimum share of the slots at any downstream queueing delay', () => {
		const cap = new DownstreamCap();
		for (let count = 0; count < 100; count++) {
			cap.observe(createWindow(1, 10_000), slots);
		}

		expect(cap.current(slots)).to.equal(4);
	});
});
