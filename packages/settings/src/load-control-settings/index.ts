/**
Loads and validates the settings file of a control process.
*/

import {z} from 'zod';
import {readSettingsFile} from '../_lib/read-settings-file.js';
import {
	addressSchema, failureDomainSchema, fileSchema, logSchema, memberIdSchema, resourcesSchema, securitySchema, shutdownTimeoutSchema,
} from '../_lib/schemas.js';
import {parseSettings} from '../parse-settings/index.js';
import type {ControlSettings} from '../types.js';

const memberSchema = z.strictObject({member: memberIdSchema, rpcAddress: addressSchema});

const operatorSchema = z.strictObject({
	name: z.string().min(1, 'a name'),
	role: z.enum(['operator', 'viewer']).default('operator'),
	tokenFile: fileSchema,
});

const controlSchema: z.ZodType<ControlSettings> = z.strictObject({
	member: memberIdSchema,
	domain: failureDomainSchema,
	dataFolder: z.string().min(1, 'the path of a folder'),
	operatorAddress: addressSchema,
	rpcAddress: addressSchema,
	members: z.array(memberSchema).min(1, 'at least one member'),
	join: z.boolean().default(false),
	operators: z.array(operatorSchema).min(1, 'at least one operator'),
	resources: resourcesSchema.exactOptional(),
	security: securitySchema,
	shutdownTimeoutMilliseconds: shutdownTimeoutSchema,
	log: logSchema,
});

/**
Parses and validates the settings of a control process.

@param text - JSON with comments.
@param file - Name of the file, for error messages.
@throws {SettingsError} The text is not valid.
*/
export function parseControlSettings(text: string, file: string): ControlSettings {
	return parseSettings(file, text, controlSchema);
}

/**
Reads, parses and validates the settings file of a control process.

@param file - Path of the file.
@throws {SettingsError} The file can't be read or is not valid.
*/
export async function loadControlSettings(file: string): Promise<ControlSettings> {
	return parseControlSettings(await readSettingsFile(file), file);
}
