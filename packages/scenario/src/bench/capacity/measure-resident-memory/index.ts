/**
Resident memory of a process that imports the packages of a node.
*/

import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';

/** Resident memory of one process. */
export type ResidentMemory = {
	readonly packages: readonly string[];
	readonly residentBytes: number;
};

const run = promisify(execFile);

/** Measures the resident memory of a fresh process that imports some packages. */
export async function measureResidentMemory(packages: readonly string[]): Promise<ResidentMemory> {
	const imports = packages.map(name => `await import(${JSON.stringify(name)});`).join('');
	const script = `${imports} globalThis.gc(); console.log(process.memoryUsage().rss);`;
	const {stdout} = await run(process.execPath, ['--expose-gc', '--input-type=module', '--eval', script], {cwd: import.meta.dirname});
	return {packages, residentBytes: Number(stdout)};
}
