/**
Bundles each daemon of the platform into one file under `target/`.

The bundles are built from the TypeScript sources, so no package needs to be compiled
first.
*/

import {readdirSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const packages = readdirSync(path.join(root, 'packages'));
const alias = Object.fromEntries(packages.map(name => [`@fireflyglade/${name}`, path.join(root, 'packages', name, 'src/index.ts')]));

/** The modules of undici that the daemons use. Its main module would load and evaluate the whole library at each start. */
const undiciModules = {
	buildConnector: 'lib/core/connect.js',
	Client: 'lib/dispatcher/client.js',
	Pool: 'lib/dispatcher/pool.js',
};
const undiciSubsetPlugin = {
	name: 'used-parts-of-undici',
	setup(bundle) {
		const folder = path.join(root, 'node_modules/undici');
		bundle.onResolve({filter: /^undici$/}, () => ({path: 'used-parts', namespace: 'undici'}));
		bundle.onLoad({filter: /./, namespace: 'undici'}, () => ({
			contents: Object.entries(undiciModules).map(([name, file]) => `export {default as ${name}} from ${JSON.stringify(path.join(folder, file))};`).join('\n'),
			resolveDir: folder,
		}));
	},
};

await build({
	entryPoints: {
		node: path.join(root, 'platform/src/node-main.ts'),
		control: path.join(root, 'platform/src/control-main.ts'),
	},
	outdir: path.join(root, 'target'),
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	mainFields: ['module', 'main'],
	alias,
	plugins: [undiciSubsetPlugin],
	minifyWhitespace: true,
	legalComments: 'none',
	sourcemap: false,
	// Bundled CommonJS modules call `require`, which ES modules do not define.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	logLevel: 'warning',
});
