/**
Passes over the tests that KNOWN-RED.txt lists, and prints each of them.

An entry of the file starts with a line `test: <full title>`. The tests run as
usual unless the environment sets `SKIP_KNOWN_RED=1`, as `.ci/run` does.
*/
import fs from 'node:fs';
import process from 'node:process';

const prefix = 'test: ';

function readKnownRedTitles() {
	if (process.env.SKIP_KNOWN_RED !== '1' || !fs.existsSync('KNOWN-RED.txt')) {
		return new Set();
	}

	const lines = fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trim()));
}

const titles = readKnownRedTitles();

export const mochaHooks = {
	beforeEach() {
		const title = this.currentTest.fullTitle();
		if (titles.has(title)) {
			console.log(`known red, not run: ${title}`);
			this.skip();
		}
	},
};
