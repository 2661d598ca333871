/**
Errors of settings files.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** One fault in a settings file. */
export type SettingsFault = {
	/** Path in the file, such as `limits.maximumBodyBytes`, or line and column if it is no JSON. */
	readonly path: string;
	/** What the file holds there. */
	readonly found: string;
	/** What is allowed there. */
	readonly allowed: string;
};

function formatFault(file: string, fault: SettingsFault): string {
	return `${file}: ${fault.path}: found ${fault.found}, allowed: ${fault.allowed}`;
}

/** A settings file has faults; all of them are named. */
export class SettingsError extends FireflygladeError {
	readonly file: string;
	readonly faults: readonly SettingsFault[];

	constructor(file: string, faults: readonly SettingsFault[], options?: ErrorOptions) {
		super(faults.map(fault => formatFault(file, fault)).join('\n'), options);
		this.file = file;
		this.faults = faults;
	}

	get code(): 'settings-invalid' {
		return 'settings-invalid';
	}
}
