/**
Schemas that the settings of nodes and of control processes share.

The error messages of the schemas describe the allowed values; `parseSettings` adds
the value that was found.
*/

import {
	bytesInKibibyte, bytesInMebibyte, createFailureDomain, createMemberId, createNodeId, InvalidInputError,
} from '@fireflyglade/model';
import {z} from 'zod';
import {defaultRequestBacklogLimits} from '../default-request-backlog-limits/index.js';
import type {
	CallerLimits, FleetSecuritySettings, LogSettings, ResourceSettings,
} from '../types.js';

const highestPort = 65_535;
const defaultShutdownTimeoutMilliseconds = 30_000;
const defaultMaximumConnections = 10_000;

function isAddress(value: string): boolean {
	const match = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+]):(?<port>\d{1,5})$/i.exec(value);
	return match !== null && Number(match.groups?.port) <= highestPort;
}

/** Address as `IP:port`; port 0 takes any free port. */
export const addressSchema = z.string().refine(isAddress, 'an IP number and a port, such as "127.0.0.1:7000" or "[::1]:7000"');

/** Creates the schema of a branded name from the function that validates and creates the name. */
export function createNameSchema<Name extends string>(create: (value: string) => Name): z.ZodType<Name> {
	return z.string().transform((value, context) => {
		try {
			return create(value);
		} catch (error: unknown) {
			if (error instanceof InvalidInputError) {
				context.addIssue({code: 'custom', message: '1 to 63 letters, digits, "_", "." or "-", the first a letter or digit'});
				return z.NEVER;
			}

			throw error;
		}
	});
}

export const nodeIdSchema = createNameSchema(createNodeId);
export const memberIdSchema = createNameSchema(createMemberId);
export const failureDomainSchema = createNameSchema(createFailureDomain);

export const fileSchema = z.string().min(1, 'the path of a file');

export const logSchema: z.ZodType<LogSettings> = z.strictObject({
	level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	format: z.enum(['json', 'people']).default('json'),
}).prefault({});

export const securitySchema: z.ZodType<FleetSecuritySettings> = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('token'), tokenFile: fileSchema}),
	z.strictObject({
		kind: z.literal('mutual-tls'), authorityFile: fileSchema, certificateFile: fileSchema, privateKeyFile: fileSchema,
	}),
]);

const positiveIntegerSchema = z.int().min(1, 'a whole number of at least 1');

export const shutdownTimeoutSchema = positiveIntegerSchema.default(defaultShutdownTimeoutMilliseconds);

export const resourcesSchema: z.ZodType<ResourceSettings> = z.strictObject({
	memoryBytes: positiveIntegerSchema.exactOptional(),
	maximumDescriptors: positiveIntegerSchema.exactOptional(),
});

export const limitsSchema: z.ZodType<CallerLimits> = z.strictObject({
	maximumHeaderBytes: positiveIntegerSchema.default(16 * bytesInKibibyte),
	maximumBodyBytes: positiveIntegerSchema.default(16 * bytesInMebibyte),
	maximumPathBytes: positiveIntegerSchema.default(4 * bytesInKibibyte),
	maximumConnections: positiveIntegerSchema.default(defaultMaximumConnections),
	maximumPipelinedRequests: positiveIntegerSchema.default(defaultRequestBacklogLimits.maximumPipelinedRequests),
	maximumPipelinedBytes: positiveIntegerSchema.default(defaultRequestBacklogLimits.maximumPipelinedBytes),
	maximumUnansweredRequests: positiveIntegerSchema.default(defaultRequestBacklogLimits.maximumUnansweredRequests),
	maximumUnansweredBodyBytes: positiveIntegerSchema.default(defaultRequestBacklogLimits.maximumUnansweredBodyBytes),
	maximumWaitingBytes: positiveIntegerSchema.default(defaultRequestBacklogLimits.maximumWaitingBytes),
}).prefault({});
