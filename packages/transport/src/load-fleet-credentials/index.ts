/**
Loads the credentials of a process from the files that its settings name.
*/

import {readFile} from 'node:fs/promises';
import {FireflygladeError, UnreachableError} from '@fireflyglade/model';
import type {FleetSecuritySettings} from '@fireflyglade/settings';
import type {FleetCredentials} from '../types.js';

/** A credentials file can't be read, or its token is too short. */
export class CredentialsError extends FireflygladeError {
	get code(): 'credentials-invalid' {
		return 'credentials-invalid';
	}
}

const minimumTokenCharacters = 16;

async function readCredential(file: string): Promise<Uint8Array> {
	try {
		return await readFile(file);
	} catch (error: unknown) {
		throw new CredentialsError(`${file} can't be read`, {cause: error});
	}
}

async function readToken(file: string): Promise<string> {
	const token = Buffer.from(await readCredential(file)).toString('utf8').trim();
	if (token.length < minimumTokenCharacters) {
		throw new CredentialsError(`the token in ${file} has fewer than ${minimumTokenCharacters} characters`);
	}

	return token;
}

/**
Loads the credentials with which a process authenticates to the fleet.

@throws {CredentialsError} A file can't be read, or its token is too short.
*/
export async function loadFleetCredentials(security: FleetSecuritySettings): Promise<FleetCredentials> {
	switch (security.kind) {
		case 'token': {
			return {kind: 'token', token: await readToken(security.tokenFile)};
		}

		case 'mutual-tls': {
			return {
				kind: 'mutual-tls',
				authority: await readCredential(security.authorityFile),
				certificate: await readCredential(security.certificateFile),
				privateKey: await readCredential(security.privateKeyFile),
			};
		}

		default: {
			throw new UnreachableError(security);
		}
	}
}
