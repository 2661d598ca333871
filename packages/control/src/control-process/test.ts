import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {createMemberId, type MemberId} from '@fireflyglade/model';
import {NodeFileSystem, type FileHandle} from '@fireflyglade/storage';
import {ControlProcess, type ControlProcessOptions} from './index.js';

type Answer = {readonly status: number; readonly body: Record<string, unknown>};

const operatorToken = 'operator-token-of-the-test';
const viewerToken = 'viewer-token-of-the-test';
const loopbackAnyPort = '127.0.0.1:0';

async function send(control: ControlProcess, statement: string, commandId: string, token = operatorToken): Promise<Answer> {
	const response = await fetch(`${control.operatorUrl}/v1/statements`, {
		method: 'POST',
		headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
		body: JSON.stringify({statement, commandId}),
	});
	return {status: response.status, body: await response.json() as Record<string, unknown>};
}

/** Resends a statement with the same command id until it is answered, as the client does. */
async function sendUntilAnswered(controls: readonly ControlProcess[], statement: string, commandId: string): Promise<Answer> {
	for (;;) {
		for (const control of controls) {
			const answer = await send(control, statement, commandId);
			if (answer.status !== 503) {
				return answer;
			}
		}
	}
}

/** Repeats a membership change until it succeeds, as the new member must introduce itself first. */
async function sendUntilDone(controls: readonly ControlProcess[], statement: string, commandId: string): Promise<Answer> {
	for (;;) {
		const answer = await sendUntilAnswered(controls, statement, commandId);
		if (answer.status === 200) {
			return answer;
		}
	}
}

function errorOf(answer: Answer): Record<string, unknown> {
	return answer.body.error as Record<string, unknown>;
}

/** A file system that refuses every write while it is full. */
class FillingFileSystem extends NodeFileSystem {
	isFull = false;

	override async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		const file = await super.open(path, flags);
		return {
			read: async (offset, length) => file.read(offset, length),
			write: async (offset, data) => {
				if (this.isFull) {
					throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
				}

				await file.write(offset, data);
			},
			truncate: async length => file.truncate(length),
			size: async () => file.size(),
			sync: async () => file.sync(),
			close: async () => file.close(),
		};
	}
}

describe('ControlProcess', () => {
	let folder: string;
	let running: ControlProcess[];

	beforeEach(async () => {
		folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-test-'));
		running = [];
	});

	afterEach(async () => {
		await Promise.all(running.map(async control => control.close()));
		await rm(folder, {recursive: true, force: true});
	});

	async function startMember(name: string, members: Map<MemberId, string>, randomSeed: number, options: Partial<ControlProcessOptions> = {}): Promise<ControlProcess> {
		const member = createMemberId(name);
		const control = await ControlProcess.start({
			member,
			dataFolder: path.join(folder, name),
			operatorAddress: loopbackAnyPort,
			rpcAddress: loopbackAnyPort,
			members,
			operators: [
				{name: 'anna', role: 'operator', token: operatorToken},
				{name: 'wall', role: 'viewer', token: viewerToken},
			],
			credentials: {kind: 'token', token: 'fleet-token-of-the-test'},
			randomSeed,
			onStorageFailure(error) {
				throw error;
			},
			...options,
		});
		members.set(member, control.rpcAddress);
		running.push(control);
		return control;
	}

	async function startMembers(count: number): Promise<ControlProcess[]> {
		const names = Array.from({length: count}, (_, index) => `control-${index + 1}`);
		const members = new Map(names.map(name => [createMemberId(name), loopbackAnyPort]));
		const controls: ControlProcess[] = [];
		for (const [index, name] of names.entries()) {
			controls.push(await startMember(name, members, index + 1));
		}

		return controls;
	}

	it('accepts a statement and reports the domains in which it is in force', async () => {
		const [control] = await startMembers(1);
		const answer = await sendUntilAnswered([control!], 'create team crews rate 20/s burst 10', 'command-1');
		expect(answer.body).to.deep.equal({
			kind: 'changed', revision: 1, inForce: [], pending: [], cutOff: [],
		});
	});

	it('returns the secret of a key when its statement is resent, and never shows it in a query', async () => {
		const [control] = await startMembers(1);
		await sendUntilAnswered([control!], 'create team crews rate 20/s burst 10', 'command-1');
		const first = await send(control!, 'issue key for team crews', 'command-2');
		const resend = await send(control!, 'issue key for team crews', 'command-2');
		expect(first.body.secret).to.be.a('string');
		expect(resend.body).to.deep.equal(first.body);
		const shown = await send(control!, 'show keys', 'command-3');
		expect(JSON.stringify(shown.body)).to.contain(first.body.id).and.not.to.contain(first.body.secret);
	});

	it('accepts one of two concurrent changes that expect the same revision, and tells the other operator who made it', async () => {
		const [control] = await startMembers(1);
		await sendUntilAnswered([control!], 'create team crews rate 20/s burst 10', 'command-1');
		const answers = await Promise.all([
			send(control!, 'change team crews rate 30/s if revision 1', 'command-2'),
			send(control!, 'change team crews rate 40/s if revision 1', 'command-3'),
		]);
		expect(answers.map(({status}) => status)).to.have.members([200, 409]);
		const refused = answers.find(({status}) => status === 409)!;
		expect(errorOf(refused).code).to.equal('revision-conflict');
		expect(errorOf(refused).message).to.contain('anna made the change change-team');
	});

	it('refuses an unknown token, and a change by a viewer', async () => {
		const [control] = await startMembers(1);
		await sendUntilAnswered([control!], 'create team crews rate 20/s burst 10', 'command-1');
		expect(errorOf(await send(control!, 'show teams', 'command-2', 'wrong')).code).to.equal('unknown-operator');
		expect(errorOf(await send(control!, 'delete team crews', 'command-3', viewerToken)).code).to.equal('forbidden');
		const shown = await send(control!, 'show teams', 'command-4', viewerToken);
		expect(shown.status).to.equal(200);
	});

	it('returns the position of a syntax error', async () => {
		const [control] = await startMembers(1);
		const answer = await send(control!, 'create team crews rate fast', 'command-1');
		expect(answer.status).to.equal(400);
		expect(errorOf(answer).position).to.equal(23);
	});

	it('keeps an accepted configuration across a restart', async () => {
		const [control] = await startMembers(1);
		await sendUntilAnswered([control!], 'create team crews rate 20/s burst 10', 'command-1');
		await control!.close();
		const restarted = await startMember('control-1', new Map([[createMemberId('control-1'), loopbackAnyPort]]), 7);
		const shown = await sendUntilAnswered([restarted], 'show teams', 'command-2');
		expect(shown.body.revision).to.equal(1);
		const resend = await send(restarted, 'create team crews rate 20/s burst 10', 'command-1');
		expect(resend.body.revision).to.equal(1);
	});

	it('accepts no change while its disk is full, answers reads, and accepts changes again once there is space', async () => {
		const fileSystem = new FillingFileSystem();
		const seen: boolean[] = [];
		const control = await startMember('control-1', new Map([[createMemberId('control-1'), loopbackAnyPort]]), 1, {
			fileSystem,
			onDiskFull(isFull) {
				seen.push(isFull);
			},
		});
		await sendUntilAnswered([control], 'create team crews rate 20/s burst 10', 'command-1');
		fileSystem.isFull = true;
		const refused = await send(control, 'change team crews rate 30/s', 'command-2');
		expect(refused.status).to.equal(503);
		const shown = await send(control, 'show teams', 'command-3');
		expect(shown.status).to.equal(200);
		expect(JSON.stringify(shown.body)).to.contain('"rate":20');
		fileSystem.isFull = false;
		const resend = await sendUntilAnswered([control], 'change team crews rate 30/s', 'command-2');
		expect(resend.body.revision).to.equal(2);
		expect(seen).to.deep.equal([true, false]);
	});

	it('closes while its disk is full, and keeps what it had accepted', async () => {
		const fileSystem = new FillingFileSystem();
		const members = new Map([[createMemberId('control-1'), loopbackAnyPort]]);
		const control = await startMember('control-1', members, 1, {fileSystem, hasExclusiveAccess: true});
		await sendUntilAnswered([control], 'create team crews rate 20/s burst 10', 'command-1');
		fileSystem.isFull = true;
		await send(control, 'change team crews rate 30/s', 'command-2');
		await control.close();
		const restarted = await startMember('control-1', members, 7, {hasExclusiveAccess: true});
		const shown = await sendUntilAnswered([restarted], 'show teams', 'command-3');
		expect(JSON.stringify(shown.body)).to.contain('"rate":20');
	});

	it('accepts statements at any of three members, also after the leader has shut down', async () => {
		const controls = await startMembers(3);
		for (const [index, control] of controls.entries()) {
			const answer = await sendUntilAnswered([control], `create team team-${index} rate 20/s burst 10`, `command-${index}-create`);
			expect(answer.status).to.equal(200);
		}

		const leader = controls.find(control => control.log.status().role === 'leader')!;
		await leader.close();
		const others = controls.filter(control => control !== leader);
		const answer = await sendUntilAnswered(others, 'create team late rate 20/s burst 10', 'command-late');
		expect(answer.body.revision).to.equal(4);
		const resend = await sendUntilAnswered([others[1]!], 'create team late rate 20/s burst 10', 'command-late');
		expect(resend.body.revision).to.equal(4);
	});

	it('replaces a lost member with a new member that joins', async () => {
		const controls = await startMembers(3);
		await sendUntilAnswered(controls, 'create team crews rate 20/s burst 10', 'command-1');
		await controls[0]!.close();
		const others = controls.slice(1);
		const members = new Map([
			[createMemberId('control-2'), others[0]!.rpcAddress],
			[createMemberId('control-3'), others[1]!.rpcAddress],
		]);
		const joined = await startMember('control-4', members, 9, {join: true});
		const added = await sendUntilDone(others, 'add member control-4', 'command-2');
		expect(added.body.voters).to.include('control-4');
		const removed = await sendUntilAnswered(others, 'remove member control-1', 'command-3');
		expect(removed.body.voters).to.deep.equal(['control-2', 'control-3', 'control-4']);
		await controls[1]!.close();
		const answer = await sendUntilAnswered([joined], 'create team late rate 20/s burst 10', 'command-4');
		expect(answer.body.revision).to.equal(2);
	});

	it('refuses changes without a quorum', async () => {
		const controls = await startMembers(3);
		await sendUntilAnswered(controls, 'create team crews rate 20/s burst 10', 'command-1');
		await controls[0]!.close();
		await controls[1]!.close();
		const answer = await send(controls[2]!, 'create team late rate 20/s burst 10', 'command-2');
		expect(answer.status).to.equal(503);
		expect(errorOf(answer).code).to.equal('no-quorum');
	});
});
