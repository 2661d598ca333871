import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {catchError} from '../test-support/catch-error.js';
import {CredentialsError, loadFleetCredentials} from './index.js';

describe('loadFleetCredentials', () => {
	let folder: string;

	beforeEach(async () => {
		folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-test-'));
	});

	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	it('removes the line end of a token', async () => {
		const tokenFile = path.join(folder, 'token');
		await writeFile(tokenFile, '0123456789abcdef\n');
		expect(await loadFleetCredentials({kind: 'token', tokenFile})).to.deep.equal({kind: 'token', token: '0123456789abcdef'});
	});

	it('rejects a short token', async () => {
		const tokenFile = path.join(folder, 'token');
		await writeFile(tokenFile, 'short');
		expect(await catchError(loadFleetCredentials({kind: 'token', tokenFile}))).to.be.instanceOf(CredentialsError);
	});

	it('names the file that can\'t be read in the error', async () => {
		const error = await catchError(loadFleetCredentials({kind: 'token', tokenFile: path.join(folder, 'absent')}));
		expect(error).to.be.instanceOf(CredentialsError);
		expect(String(error)).to.contain('absent');
	});
});
