import {expect} from 'chai';
import {createLogger, type Logger, type LoggerSettings} from './index.js';

function createLines(settings: LoggerSettings): {logger: Logger; lines: string[]} {
	const lines: string[] = [];
	const logger = createLogger(settings, {
		process: 'node-1',
		write(line) {
			lines.push(line);
		},
	});
	return {logger, lines};
}

describe('createLogger', () => {
	it('writes JSON lines with fields', () => {
		const {logger, lines} = createLines({level: 'info', format: 'json'});
		logger.warn('peer lost', {peer: 'node-2', attempts: 3, address: undefined});
		expect({...JSON.parse(lines[0]!), at: ''}).deep.equal({
			at: '', level: 'warn', process: 'node-1', message: 'peer lost', fields: {peer: 'node-2', attempts: 3},
		});
	});

	it('writes one line in the text format, whatever the values contain', () => {
		const {logger, lines} = createLines({level: 'info', format: 'people'});
		logger.info('peer lost\n\u001B[2J', {peer: 'a\nb'});
		expect(lines[0]).match(/info {2}node-1 peer lost\?\?\[2J peer="a\\nb"$/);
	});

	it('omits records below its level', () => {
		const {logger, lines} = createLines({level: 'warn', format: 'json'});
		logger.info('a');
		logger.debug('b');
		logger.error('c');
		expect(lines.length).equal(1);
	});

	it('redacts secrets by field name and bearer credentials', () => {
		for (const format of ['json', 'people'] as const) {
			const {logger, lines} = createLines({level: 'debug', format});
			logger.error('answered Bearer s3cret-a to x', {
				key: 's3cret-b', apiKey: 's3cret-c', Authorization: 's3cret-d', 'fleet-token': 's3cret-e', note: 'authorization: bearer s3cret-f', // eslint-disable-line @typescript-eslint/naming-convention
			});
			expect(lines.join('')).not.contains('s3cret');
		}
	});

	it('writes the public id of a key', () => {
		const {logger, lines} = createLines({level: 'info', format: 'json'});
		logger.info('withdrawn', {keyId: 'k1'});
		expect(lines[0]).contains('"keyId":"k1"');
	});
});
