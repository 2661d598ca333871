/**
Loads and validates the settings file of a node.
*/

import {z} from 'zod';
import {readSettingsFile} from '../_lib/read-settings-file.js';
import {
	addressSchema, failureDomainSchema, fileSchema, limitsSchema, logSchema, nodeIdSchema, resourcesSchema, securitySchema, shutdownTimeoutSchema,
} from '../_lib/schemas.js';
import {parseSettings} from '../parse-settings/index.js';
import type {NodeSettings} from '../types.js';

const nodeSchema: z.ZodType<NodeSettings> = z.strictObject({
	node: nodeIdSchema,
	domain: failureDomainSchema,
	callersAddress: addressSchema,
	gateAddress: addressSchema,
	rpcAddress: addressSchema,
	announceAddress: addressSchema,
	egressAddress: addressSchema,
	statusAddress: addressSchema,
	control: z.array(addressSchema).min(1, 'at least one address'),
	seeds: z.array(addressSchema),
	security: securitySchema,
	limits: limitsSchema,
	resources: resourcesSchema.exactOptional(),
	shutdownTimeoutMilliseconds: shutdownTimeoutSchema,
	leaveNoticeMilliseconds: z.int().min(0, 'a whole number from 0 on').optional(),
	log: logSchema,
	spanFile: fileSchema.optional(),
});

/**
Parses and validates the settings of a node.

@param text - JSON with comments.
@param file - Name of the file, for error messages.
@throws {SettingsError} The text is not valid.
*/
export function parseNodeSettings(text: string, file: string): NodeSettings {
	return parseSettings(file, text, nodeSchema);
}

/**
Reads, parses and validates the settings file of a node.

@param file - Path of the file.
@throws {SettingsError} The file can't be read or is not valid.
*/
export async function loadNodeSettings(file: string): Promise<NodeSettings> {
	return parseNodeSettings(await readSettingsFile(file), file);
}
