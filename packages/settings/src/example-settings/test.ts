import {readdir} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {loadControlSettings} from '../load-control-settings/index.js';
import {loadNodeSettings} from '../load-node-settings/index.js';

const examplesFolder = fileURLToPath(new URL('../../../../examples/', import.meta.url));

const deployments = [
	{name: 'pennine', nodes: 15, domains: 3},
	{name: 'rimac', nodes: 17, domains: 4},
];

for (const deployment of deployments) {
	describe(`examples/${deployment.name}`, () => {
		const folder = path.join(examplesFolder, deployment.name);

		it('has valid settings for every node', async () => {
			const entries = await readdir(folder);
			const files = entries.filter(file => file.startsWith('node-'));
			const settings = await Promise.all(files.map(async file => loadNodeSettings(path.join(folder, file))));
			expect(settings).to.have.length(deployment.nodes);
			expect(new Set(settings.map(({domain}) => domain)).size).to.equal(deployment.domains);
		});

		it('has valid settings for the control processes, all with the same members', async () => {
			const entries = await readdir(folder);
			const files = entries.filter(file => file.startsWith('control-'));
			const settings = await Promise.all(files.map(async file => loadControlSettings(path.join(folder, file))));
			const names = settings.map(({member}) => member).sort();
			for (const {members} of settings) {
				expect(members.map(({member}) => member).sort()).to.deep.equal(names);
			}
		});
	});
}
