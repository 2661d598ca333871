/**
A hash of short texts that is the same on all nodes (FNV-1a of 32 bits). It is fast and
not cryptographic. Its upper and lower bits differ in quality, so that callers which use
a part of the bits mix or fold them first.
*/

const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/** Returns the hash of the UTF-16 code units of a text, as an unsigned number of 32 bits. */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime); // eslint-disable-line no-bitwise, unicorn/prefer-code-point -- A hash of code units.
	}

	return hash >>> 0; // eslint-disable-line no-bitwise -- Makes the number unsigned.
}
