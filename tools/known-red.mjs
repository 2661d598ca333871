/**
Mocha hook that skips the tests listed in KNOWN-RED.txt and prints their titles.

Each entry of the file starts with a line `test: <full title>`. Tests are skipped only
if `SKIP_KNOWN_RED=1` is set in the environment, as `.ci/run` does.
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
