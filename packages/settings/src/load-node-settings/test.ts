import {expect} from 'chai';
import {SettingsError, type SettingsFault} from '../settings-error/index.js';
import {loadNodeSettings, parseNodeSettings} from './index.js';

const valid = {
	node: 'node-1',
	domain: 'north',
	callersAddress: '127.0.0.1:8000',
	gateAddress: '127.0.0.1:8001',
	rpcAddress: '127.0.0.1:8002',
	announceAddress: '127.0.0.1:8003',
	egressAddress: '127.0.0.1:8004',
	statusAddress: '127.0.0.1:8005',
	control: ['127.0.0.1:7000'],
	seeds: [],
	security: {kind: 'token', tokenFile: '/etc/fireflyglade/fleet-token'},
};

function faultsOf(text: string): readonly SettingsFault[] {
	try {
		parseNodeSettings(text, 'node.jsonc');
	} catch (error: unknown) {
		if (error instanceof SettingsError) {
			return error.faults;
		}

		throw error;
	}

	return [];
}

describe('parseNodeSettings', () => {
	it('accepts comments and applies defaults', () => {
		const settings = parseNodeSettings(`// a node\n${JSON.stringify(valid)}`, 'node.jsonc');
		expect(settings.limits.maximumBodyBytes).to.equal(16_777_216);
		expect(settings.log).to.deep.equal({level: 'info', format: 'json'});
	});

	it('reports the path of an unknown field', () => {
		expect(faultsOf(JSON.stringify({...valid, limits: {maximumBodyBites: 1}}))).to.deep.equal([
			{path: 'limits.maximumBodyBites', found: 'an unknown field', allowed: 'the documented fields alone'},
		]);
	});

	it('reports the value that was found and the values that are allowed', () => {
		const [fault] = faultsOf(JSON.stringify({...valid, rpcAddress: 'localhost:1'}));
		expect(fault?.path).to.equal('rpcAddress');
		expect(fault?.found).to.equal('"localhost:1"');
		expect(fault?.allowed).to.contain('an IP number and a port');
	});

	it('refuses a port above the highest port number', () => {
		expect(faultsOf(JSON.stringify({...valid, rpcAddress: '127.0.0.1:70000'}))).to.have.length(1);
	});

	it('reports all faults at once', () => {
		expect(faultsOf(JSON.stringify({...valid, node: '', domain: 7})).map(fault => fault.path)).to.deep.equal(['node', 'domain']);
	});

	it('reports a missing field', () => {
		const {node, ...rest} = valid;
		expect(node).to.equal('node-1');
		expect(faultsOf(JSON.stringify(rest))[0]).to.deep.equal({path: 'node', found: 'nothing', allowed: 'string'});
	});

	it('reports line and column of a syntax error', () => {
		expect(faultsOf('{\n\t"node" "x"\n}')[0]?.path).to.equal('line 2, column 9');
	});

	it('refuses a file that can\'t be read', async () => {
		let caught: unknown;
		try {
			await loadNodeSettings('/nonexistent/node.jsonc');
		} catch (error: unknown) {
			caught = error;
		}

		expect(caught).to.be.instanceOf(SettingsError);
	});
});
