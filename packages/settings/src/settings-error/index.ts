/**
The error for invalid settings files.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** One invalid value in a settings file. */
export type SettingsFault = {
	/** Path of the field, such as `limits.maximumBodyBytes`, line and column if the text can't be parsed, or `(the whole file)`. */
	readonly path: string;
	/** The value found at this path, or the reason why the file can't be read or parsed. */
	readonly found: string;
	/** The values allowed at this path. */
	readonly allowed: string;
};

function formatFault(file: string, fault: SettingsFault): string {
	return `${file}: ${fault.path}: found ${fault.found}, allowed: ${fault.allowed}`;
}

/** A settings file can't be read or is not valid. The message lists all faults, one per line. */
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
