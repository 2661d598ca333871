/**
Creates loggers. Each record is one line, as JSON for programs or as text for people.
*/

import process from 'node:process';
import {createConsola, LogLevels, type LogObject} from 'consola/core';
import {UnreachableError} from '@fireflyglade/model';
import {redactFields, redactText, type Fields} from '../_lib/redact-fields/index.js';

/** The least severe level that is logged. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes log records. Secrets in messages and fields are redacted. */
export type Logger = {
	error(message: string, fields?: Fields): void;
	warn(message: string, fields?: Fields): void;
	info(message: string, fields?: Fields): void;
	debug(message: string, fields?: Fields): void;
};

/** Level and format of a logger. */
export type LoggerSettings = {
	readonly level: LogLevel;
	readonly format: 'json' | 'people';
};

/** Options of a logger. */
export type LoggerOptions = {
	/** Name of the process, included in every record. */
	readonly process: string;
	/** Called with each line, without its line break; lines go to standard error if absent. */
	readonly write?: (line: string) => void;
};

/** A log record before formatting. */
type LogRecord = {
	readonly at: Date;
	readonly level: string;
	readonly process: string;
	readonly message: string;
	readonly fields: Fields;
};

function formatForPeople(record: LogRecord): string {
	const fields = Object.entries(record.fields).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`);
	const line = `${record.at.toISOString()} ${record.level.padEnd(5)} ${record.process} ${record.message}${fields.join('')}`;
	// Replaces control and format characters, so that a record is one line and contains no terminal control sequences.
	return line.replaceAll(/[\p{Cc}\p{Cf}]/gu, '?');
}

function formatRecord(record: LogRecord, format: LoggerSettings['format']): string {
	switch (format) {
		case 'json': {
			const {at, level, process, message, fields} = record;
			return JSON.stringify({
				at: at.toISOString(), level, process, message, fields,
			});
		}

		case 'people': {
			return formatForPeople(record);
		}

		default: {
			throw new UnreachableError(format);
		}
	}
}

function writeToStandardError(line: string): void {
	process.stderr.write(`${line}\n`);
}

/**
Creates a logger.

@example
```ts
const logger = createLogger({level: 'info', format: 'json'}, {process: 'node-1'});
logger.info('configuration in force', {revision: 7});
```
*/
export function createLogger(settings: LoggerSettings, options: LoggerOptions): Logger {
	const write = options.write ?? writeToStandardError;
	const reporter = {
		log({date, type, args}: LogObject): void {
			const [message, fields] = args as [string, Fields | undefined];
			write(formatRecord({
				at: date, level: type, process: options.process, message: redactText(message), fields: redactFields(fields ?? {}),
			}, settings.format));
		},
	};
	const consola = createConsola({level: LogLevels[settings.level], reporters: [reporter], throttle: 0});
	return {
		error(message, fields) {
			consola.error(message, fields);
		},
		warn(message, fields) {
			consola.warn(message, fields);
		},
		info(message, fields) {
			consola.info(message, fields);
		},
		debug(message, fields) {
			consola.debug(message, fields);
		},
	};
}
