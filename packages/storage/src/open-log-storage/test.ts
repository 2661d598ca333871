import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {SeededRandom} from '@fireflyglade/model';
import {
	FolderLockedError, StorageDamagedError, StorageFailedError, StorageOrderError, StorageVersionError,
} from '../errors/index.js';
import {MemoryFileSystem, type FaultInjector} from '../memory-file-system/index.js';
import type {LoadedLog, LogStorage, StoredRecord} from '../types.js';
import {openLogStorage} from './index.js';

const folder = '/data';
const firstSegment = `${folder}/log-0000000001`;
const owner = {pid: 2 ** 30, startedAt: 'test'};

function record(index: number, text = `record ${index}`): StoredRecord {
	return {index, data: Buffer.from(text)};
}

async function openIn(fileSystem: MemoryFileSystem, segmentBytes = 300): Promise<LogStorage> {
	return openLogStorage(folder, {fileSystem, segmentBytes, owner});
}

async function loadFrom(fileSystem: MemoryFileSystem, segmentBytes?: number): Promise<LoadedLog> {
	const storage = await openIn(fileSystem, segmentBytes);
	return storage.load();
}

function textsOf(loaded: LoadedLog): string[] {
	return loaded.records.map(({index, data}) => `${index}:${Buffer.from(data).toString()}`);
}

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error;
	}
}

async function writeNumbered(storage: LogStorage, from: number, to: number): Promise<void> {
	for (let index = from; index <= to; index++) {
		await storage.write({records: [record(index)], value: Buffer.from(`value ${index}`)});
	}
}

describe('openLogStorage', () => {
	it('recovers all writes from several segments after a crash', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openIn(fileSystem);
		await writeNumbered(storage, 1, 30);
		await storage.write({truncateFrom: 29, records: [record(29, 'other')]});
		const loaded = await loadFrom(fileSystem.crash(new SeededRandom(1)));
		expect(textsOf(loaded).slice(27)).to.deep.equal(['28:record 28', '29:other']);
		expect(Buffer.from(loaded.value ?? []).toString()).to.equal('value 30');
	});

	it('drops the segments that a snapshot covers, and continues after a snapshot beyond the end of the log', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openIn(fileSystem);
		await writeNumbered(storage, 1, 30);
		const filesBefore = fileSystem.paths.length;
		await storage.saveSnapshot({lastIndex: 100, data: Buffer.from('state')});
		await storage.write({records: [record(101)]});
		expect(fileSystem.paths.length).to.be.below(filesBefore);
		const loaded = await loadFrom(fileSystem.crash(new SeededRandom(1)));
		expect(loaded.snapshot?.lastIndex).to.equal(100);
		expect(textsOf(loaded)).to.deep.equal(['101:record 101']);
		expect(Buffer.from(loaded.value ?? []).toString()).to.equal('value 30');
	});

	it('truncates a torn write at the end of the log and appends after it', async () => {
		const fileSystem = new MemoryFileSystem();
		await writeNumbered(await openIn(fileSystem), 1, 2);
		const whole = fileSystem.content(firstSegment);
		for (let length = whole.byteLength - 1; length > 100; length--) {
			const restarted = fileSystem.crash(new SeededRandom(1));
			restarted.replaceContent(firstSegment, whole.slice(0, length));
			const storage = await openIn(restarted);
			const {records} = await storage.load();
			expect(records.length).to.be.below(2);
			await storage.write({records: [record(records.length + 1, 'again')]});
			const again = await loadFrom(restarted.crash(new SeededRandom(2)));
			expect(textsOf(again).at(-1)).to.equal(`${records.length + 1}:again`);
		}
	});

	it('refuses a log with any single changed byte, with an error that names the file', async () => {
		const fileSystem = new MemoryFileSystem();
		await writeNumbered(await openIn(fileSystem, 10_000), 1, 3);
		const whole = fileSystem.content(firstSegment);
		for (let position = 0; position < whole.byteLength; position++) {
			const restarted = fileSystem.crash(new SeededRandom(1));
			const changed = Uint8Array.from(whole);
			changed[position] = (changed[position] ?? 0) + 1;
			restarted.replaceContent(firstSegment, changed);
			const error = await failureOf(openIn(restarted));
			const isVersion = error instanceof StorageVersionError;
			expect(isVersion || error instanceof StorageDamagedError, `byte ${position}: ${String(error)}`).to.equal(true);
			expect(String(error)).to.include(firstSegment);
		}
	});

	it('refuses to open a log with a corrupt snapshot or a missing segment', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openIn(fileSystem);
		await writeNumbered(storage, 1, 30);
		await storage.saveSnapshot({lastIndex: 2, data: Buffer.from('state')});
		const withoutSegment = fileSystem.restartProcess();
		await withoutSegment.remove(`${folder}/log-0000000002`);
		expect(await failureOf(openIn(withoutSegment))).to.be.instanceOf(StorageDamagedError);
		const restarted = fileSystem.crash(new SeededRandom(1));
		const path = `${folder}/snapshot-0000000000000002`;
		restarted.replaceContent(path, restarted.content(path).slice(0, -1));
		expect(await failureOf(openIn(restarted))).to.be.instanceOf(StorageDamagedError);
	});

	it('refuses a record that leaves a gap, and remains usable', async () => {
		const storage = await openIn(new MemoryFileSystem());
		expect(await failureOf(storage.write({records: [record(2)]}))).to.be.instanceOf(StorageOrderError);
		expect(await failureOf(storage.write({records: [record(1), record(3)]}))).to.be.instanceOf(StorageOrderError);
		await storage.write({records: [record(1)]});
		expect(textsOf(await storage.load())).to.deep.equal(['1:record 1']);
	});

	it('syncs the unsynced writes of a killed process before it returns them', async () => {
		const fileSystem = new MemoryFileSystem((number, operation) => (operation === 'sync' && number > 20 ? {kind: 'crash'} : undefined));
		const storage = await openIn(fileSystem, 10_000);
		await failureOf(writeNumbered(storage, 1, 100));
		const restarted = fileSystem.restartProcess();
		const before = await loadFrom(restarted, 10_000);
		for (let seed = 0; seed < 10; seed++) {
			const after = await loadFrom(restarted.crash(new SeededRandom(seed)), 10_000);
			expect(textsOf(after)).to.deep.equal(textsOf(before));
		}
	});

	for (const systemCode of ['ENOSPC', 'EIO']) {
		for (const kind of ['error', 'short-write'] as const) {
			it(`refuses all writes after ${kind} ${systemCode}, and loses no acknowledged write`, async () => {
				for (let failing = 1; failing < 60; failing++) {
					const faults: FaultInjector = (number, operation) => (number >= failing && (operation === 'write' || (operation === 'sync' && kind === 'error')) ? {kind, systemCode} : undefined);
					const fileSystem = new MemoryFileSystem(faults);
					const acknowledged = await writeUntilFailure(fileSystem);
					const loaded = await loadFrom(fileSystem.crash(new SeededRandom(failing)));
					expect(loaded.records.length, `failure at operation ${failing}`).to.be.at.least(acknowledged);
				}
			});
		}
	}
});

/** Writes records until a write fails, and returns the number of acknowledged writes. */
async function writeUntilFailure(fileSystem: MemoryFileSystem): Promise<number> {
	let acknowledged = 0;
	let storage: LogStorage;
	try {
		storage = await openIn(fileSystem);
	} catch {
		return 0;
	}

	try {
		for (let index = 1; index <= 20; index++) {
			await storage.write({records: [record(index)]});
			acknowledged = index;
		}
	} catch (error) {
		expect(error).to.be.instanceOf(StorageFailedError);
		expect(await failureOf(storage.write({records: [record(acknowledged + 1)]}))).to.be.instanceOf(StorageFailedError);
		expect(await failureOf(storage.saveSnapshot({lastIndex: acknowledged, data: new Uint8Array()}))).to.be.instanceOf(StorageFailedError);
	}

	return acknowledged;
}

describe('openLogStorage on a real disk', () => {
	let path: string;

	beforeEach(async () => {
		path = await mkdtemp(join(tmpdir(), 'fireflyglade-storage-'));
	});

	afterEach(async () => {
		await rm(path, {recursive: true});
	});

	it('recovers writes and snapshots when it is opened again', async () => {
		const storage = await openLogStorage(path);
		await writeNumbered(storage, 1, 5);
		await storage.saveSnapshot({lastIndex: 3, data: Buffer.from('state')});
		await storage.close();
		const again = await openLogStorage(path);
		const loaded = await again.load();
		expect(textsOf(loaded)).to.deep.equal(['4:record 4', '5:record 5']);
		expect(Buffer.from(loaded.snapshot?.data ?? []).toString()).to.equal('state');
		await again.close();
	});

	it('allows one holder of a folder at a time, and takes over the lock of a dead process', async () => {
		const dead = await openLogStorage(path, {owner});
		const storage = await openLogStorage(path);
		expect(await failureOf(openLogStorage(path))).to.be.instanceOf(FolderLockedError);
		await storage.close();
		const next = await openLogStorage(path);
		await next.close();
		await dead.close();
	});

	it('opens a locked folder if exclusive access is guaranteed', async () => {
		const other = {pid: process.ppid, startedAt: ''};
		const previous = await openLogStorage(path, {owner: other});
		expect(await failureOf(openLogStorage(path))).to.be.instanceOf(FolderLockedError);
		const storage = await openLogStorage(path, {hasExclusiveAccess: true});
		await storage.close();
		await previous.close();
	});
});
