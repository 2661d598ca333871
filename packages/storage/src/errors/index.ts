/**
Errors of durable storage.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A file holds bytes that were not written by a torn last write; nothing was changed. */
export class StorageDamagedError extends FireflygladeError {
	/** Path of the damaged file. */
	readonly file: string;
	/** Bytes from its start to the damage. */
	readonly offset: number;

	constructor(file: string, offset: number, reason: string) {
		super(`${file} is damaged at offset ${offset}: ${reason}`);
		this.file = file;
		this.offset = offset;
	}

	get code(): 'storage-damaged' {
		return 'storage-damaged';
	}
}

/** A file was written in a format that this program doesn't know. */
export class StorageVersionError extends FireflygladeError {
	get code(): 'storage-version' {
		return 'storage-version';
	}
}

/** An operation on a file failed; the storage takes no more writes until it is opened again. */
export class StorageFailedError extends FireflygladeError {
	get code(): 'storage-failed' {
		return 'storage-failed';
	}
}

/** A living process has the folder open. */
export class FolderLockedError extends FireflygladeError {
	get code(): 'folder-locked' {
		return 'folder-locked';
	}
}

/** A write doesn't follow the records before it. */
export class StorageOrderError extends FireflygladeError {
	get code(): 'storage-order' {
		return 'storage-order';
	}
}
