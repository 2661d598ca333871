/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'examples/**']},
	{
		rules: {
			// Steps that must follow one another are awaited one by one.
			'no-await-in-loop': 'off',
			// The settings files of the programs are read before anything else can run.
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// An exhaustive switch still has a default that throws, for values from outside.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true}],
		},
	},
	{
		files: ['**/test.ts', '**/test-support/**'],
		rules: {
			// The chai style of assertion is an expression.
			'@typescript-eslint/no-unused-expressions': 'off',
			// The test libraries are development dependencies of the workspace.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['platform/src/**/test.ts', 'platform/src/**/test-support/**'],
		rules: {
			// The platform's own names of fields.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['platform/src/_lib/run-daemon/index.ts', 'platform/src/start-platform-control/index.ts'],
		rules: {
			// A daemon ends itself.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['**/*-parser/index.ts'],
		rules: {
			// The parser library names the methods of its grammar in capitals.
			'new-cap': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
