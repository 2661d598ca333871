/**
Errors of durable storage.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A file is corrupt, and not merely by a torn last write. The file is left unchanged. */
export class StorageDamagedError extends FireflygladeError {
	/** Path of the damaged file. */
	readonly file: string;
	/** Byte offset of the corruption in the file. */
	readonly offset: number;

	constructor(file: string, offset: number, reason: string) {
		super(`${file} is corrupt at offset ${offset}: ${reason}`);
		this.file = file;
		this.offset = offset;
	}

	get code(): 'storage-damaged' {
		return 'storage-damaged';
	}
}

/** A file has an unsupported format version. */
export class StorageVersionError extends FireflygladeError {
	get code(): 'storage-version' {
		return 'storage-version';
	}
}

/** A file operation failed, or the storage is closed. It accepts no further operations until it is opened again. */
export class StorageFailedError extends FireflygladeError {
	get code(): 'storage-failed' {
		return 'storage-failed';
	}
}

/** Another running process, or this one, has the folder open. */
export class FolderLockedError extends FireflygladeError {
	get code(): 'folder-locked' {
		return 'folder-locked';
	}
}

/** A write or a snapshot does not follow the records or the snapshot before it. */
export class StorageOrderError extends FireflygladeError {
	get code(): 'storage-order' {
		return 'storage-order';
	}
}
