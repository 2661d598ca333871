import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough, Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {expect} from 'chai';
import {createProgram} from './index.js';

type Run = {readonly written: string; readonly errors: string; readonly exitCode: number};

type Received = {readonly authorization: string | undefined; readonly statement: string};

describe('createProgram', () => {
	let folder: string;
	let server: Server;
	let connection: string[];
	let received: Received[];

	async function answer(request: IncomingMessage): Promise<{status: number; body: unknown}> {
		const {statement} = JSON.parse(await text(request)) as {statement: string};
		received.push({authorization: request.headers.authorization, statement});
		if (statement.startsWith('issue')) {
			return {
				status: 200, body: {
					kind: 'changed', revision: 3, inForce: ['north'], pending: ['south'], cutOff: [], id: 'k1', secret: 's1',
				},
			};
		}

		if (statement.startsWith('show teams')) {
			return {
				status: 200, body: {
					kind: 'rows', revision: 3, columns: ['team', 'rate'], rows: [{team: 'brook', rate: 20}],
				},
			};
		}

		return {status: 400, body: {error: {code: 'unknown-column', message: 'there is no column "x"', position: 17}}};
	}

	async function run(parameters: readonly string[], input = '', terminal?: PassThrough): Promise<Run> {
		const written: string[] = [];
		const errors: string[] = [];
		let exitCode = 0;
		const program = createProgram({
			input: Readable.from([input]),
			terminal: terminal ?? new PassThrough(),
			isInteractive: terminal !== undefined,
			output: {
				write(line) {
					written.push(line);
				},
				writeError(line) {
					errors.push(line);
				},
			},
			setExitCode(code) {
				exitCode = code;
			},
		});
		await program.parseAsync(['node', 'fireflyglade', ...parameters]);
		return {written: written.join('\n'), errors: errors.join('\n'), exitCode};
	}

	beforeEach(async () => {
		received = [];
		folder = await mkdtemp(join(tmpdir(), 'fireflyglade-client-'));
		await writeFile(join(folder, 'token'), 'operator-token\n');
		server = createServer(async (request, response) => {
			const {status, body} = await answer(request);
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		connection = ['--operator', `http://127.0.0.1:${port}`, '--token-file', join(folder, 'token')];
	});

	afterEach(async () => {
		server.closeAllConnections();
		await new Promise(resolve => {
			server.close(resolve);
		});
		await rm(folder, {recursive: true});
	});

	it('writes an answer as text for people, and sends the token', async () => {
		const result = await run([...connection, 'issue key for team brook']);
		expect(result).deep.equal({
			written: 'revision 3, in force in: north\nnot yet confirmed by: south\nkey id: k1\nsecret, shown this once: s1',
			errors: '',
			exitCode: 0,
		});
		expect(received).deep.equal([{authorization: 'Bearer operator-token', statement: 'issue key for team brook'}]);
	});

	it('writes answers as JSON', async () => {
		const {written} = await run([...connection, '--json', 'show teams']);
		expect(JSON.parse(written)).deep.equal({
			kind: 'rows', revision: 3, columns: ['team', 'rate'], rows: [{team: 'brook', rate: 20}],
		});
	});

	it('marks the position of a syntax error, and does not send the statement', async () => {
		const result = await run([...connection, 'show tems']);
		expect(result.exitCode).equal(1);
		expect(result.errors.split('\n').slice(0, 2)).deep.equal(['show tems', '     ^']);
		expect(received).deep.equal([]);
	});

	it('writes an error from a control process as JSON and exits with code 1', async () => {
		const result = await run([...connection, '--json', 'show keys where x = 1']);
		expect(result.exitCode).equal(1);
		expect(JSON.parse(result.written)).deep.equal({error: {code: 'unknown-column', message: 'there is no column "x"', position: 17}});
	});

	it('runs the statements from its input in order and stops at the first error', async () => {
		const result = await run(connection, '# keys\nshow teams\n\nshow keys\nshow teams\n');
		expect(received.map(({statement}) => statement)).deep.equal(['show teams', 'show keys']);
		expect(result.exitCode).equal(1);
	});

	it('continues after an error at a terminal, and shows help without a control process', async () => {
		const result = await run(connection, 'show tems\nhelp keys\nshow teams\nexit\nshow teams\n', new PassThrough());
		expect(result.errors).contains('expected "teams"');
		expect(result.written).contains('withdraw key ID');
		expect(received.length).equal(1);
	});

	it('draws the live view as often as the count option says', async () => {
		const {written} = await run([...connection, 'top', '--count', '2', '--interval', '0.01']);
		expect(written.split('brook').length - 1).equal(2);
	});

	it('exits with code 2 if the address is missing or the token file can\'t be read', async () => {
		const withoutAddress = await run(['show teams']);
		expect(withoutAddress.exitCode).equal(2);
		const withoutToken = await run(['--operator', 'http://127.0.0.1:1', '--token-file', join(folder, 'none'), 'show teams']);
		expect(withoutToken.exitCode).equal(2);
	});

	it('checks settings, and reports the faults for the kind of process that the file fits best', async () => {
		const file = join(folder, 'node.json');
		await writeFile(file, '{"node": "n1", "domain": "north"}');
		const result = await run(['check', file]);
		expect(result.exitCode).equal(1);
		expect(result.errors).contains(`${file}: callersAddress`);
	});

	describe('explain', () => {
		let status: number;
		let body: unknown;
		let urls: string[];
		let node: Server;
		let base: string;

		beforeEach(async () => {
			urls = [];
			node = createServer((request, response) => {
				urls.push(request.url!);
				response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
			});
			await new Promise<void>(resolve => {
				node.listen(0, '127.0.0.1', resolve);
			});
			base = `http://127.0.0.1:${(node.address() as AddressInfo).port}`;
		});

		afterEach(async () => {
			node.closeAllConnections();
			await new Promise(resolve => {
				node.close(resolve);
			});
		});

		it('asks the node with each option and prints the answer as text or JSON, without a token', async () => {
			status = 200;
			body = {kind: 'refused', problem: {code: 'route-not-found', detail: 'no route has this path'}};
			const result = await run(['explain', '--node', base, 'get', '/a?b=1&c', '--host', 'h', '--team', 't', '--timeout-ms', '50']);
			expect(result).deep.equal({written: 'The request would be refused: route-not-found, no route has this path.', errors: '', exitCode: 0});
			expect(urls).deep.equal(['/explain?method=GET&path=%2Fa%3Fb%3D1%26c&host=h&team=t&timeout-ms=50']);
			const {written} = await run(['explain', '--node', base, 'GET', '/a', '--json']);
			expect(JSON.parse(written)).deep.equal(body);
		});

		it('exits with code 1 if the node refuses the query or does not answer, and 2 without a URL', async () => {
			status = 400;
			body = {code: 'bad-request', detail: 'no team has this name'};
			expect(await run(['explain', '--node', base, 'GET', '/a', '--team', 'x'])).deep.equal({written: '', errors: 'bad-request: no team has this name', exitCode: 1});
			status = 404;
			body = {};
			const unexpected = await run(['explain', '--node', base, 'GET', '/a']);
			expect([unexpected.exitCode, unexpected.errors.split(':')[0]]).deep.equal([1, 'unexpected-answer']);
			node.closeAllConnections();
			node.close();
			const unreachable = await run(['explain', '--node', base, 'GET', '/a']);
			expect([unreachable.exitCode, unreachable.errors.split(':')[0]]).deep.equal([1, 'node-unreachable']);
			const missing = await run(['explain', 'GET', '/a']);
			expect(missing.exitCode).equal(2);
		});
	});
});
