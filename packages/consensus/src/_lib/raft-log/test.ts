import {expect} from 'chai';
import {RaftLog} from './index.js';

const commandBytes = 100;

function createLog(entries: number): RaftLog {
	const log = new RaftLog({hardState: {term: 1}, entries: []});
	for (let index = 1; index <= entries; index++) {
		log.append({index, term: 1, payload: {kind: 'command', command: new Uint8Array(commandBytes)}});
	}

	return log;
}

const saved = {lastIndex: 50, data: new Uint8Array()};

describe('RaftLog', () => {
	it('retains a number of the entries that a snapshot covers, and all later ones', () => {
		const log = createLog(60);
		log.compact(saved, {entries: 5, bytes: 1_000_000});
		expect(log.slice(1, 61).map(({index}) => index)[0]).to.equal(46);
		expect(log.lastIndex).to.equal(60);
		expect(log.termAt(45)).to.equal(1);
	});

	// Guards against: large commands that a snapshot covers fill the memory of a control process.
	it('retains no more bytes of commands than it may', () => {
		const log = createLog(60);
		log.compact(saved, {entries: 1000, bytes: 3.5 * commandBytes});
		expect(log.slice(1, 61).map(({index}) => index)[0]).to.equal(48);
		log.compact({...saved, lastIndex: 60}, {entries: 1000, bytes: 0});
		expect(log.slice(1, 61)).to.deep.equal([]);
		expect(log.lastIndex).to.equal(60);
		expect(log.lastTerm).to.equal(1);
	});
});
