/**
Checks a request before its route is looked up. Each check returns the problem
with which the request is refused, or undefined.
*/

import type {IncomingMessage} from 'node:http';
import type {Problem} from '@fireflyglade/model';
import type {CallerLimits} from '@fireflyglade/settings';

/** A percent sign that begins no escape, or an escaped character that needs none: letters, digits and `-._~`. */
const malformedEscape = /%(?![\da-f]{2})|%(?:2[de]|3\d|4[1-9a-f]|5[\daf]|6[1-9a-f]|7[\dae])/i;
/** An empty segment, a backslash, a dot segment or an escaped null character. */
const nonCanonicalPath = /\/\/|\\|\/\.{1,2}(?:\/|$)|%00/;

function refuse(detail: string): Problem {
	return {code: 'bad-request', outcome: 'not-run', detail};
}

/** Checks length and form of the path. Refuses paths that router and upstream could interpret differently. */
export function checkPath(url: string, limits: CallerLimits): Problem | undefined {
	if (url.length > limits.maximumPathBytes) {
		return {code: 'path-too-long', outcome: 'not-run', detail: `the path is longer than ${limits.maximumPathBytes} bytes`};
	}

	if (!url.startsWith('/')) {
		return refuse('the request target must be a path');
	}

	const query = url.indexOf('?');
	const path = query === -1 ? url : url.slice(0, query);
	if (nonCanonicalPath.test(path) || malformedEscape.test(path) || path.includes('#')) {
		return refuse('the path is not in its canonical form');
	}

	return undefined;
}

/** True if the head announces a body, even with invalid framing. */
export function mayHaveBody(request: IncomingMessage): boolean {
	const {'transfer-encoding': transferEncoding, 'content-length': contentLength} = request.headers;
	return transferEncoding !== undefined || (contentLength !== undefined && contentLength !== '0');
}

/** Checks the framing of the body, to prevent request smuggling, and its length. */
export function checkFraming(request: IncomingMessage, limits: CallerLimits): Problem | undefined {
	const {'transfer-encoding': transferEncoding, 'content-length': contentLength} = request.headers;
	if (transferEncoding !== undefined) {
		if (contentLength !== undefined || transferEncoding.toLowerCase() !== 'chunked' || request.httpVersion !== '1.1') {
			return refuse('the framing of the body is ambiguous');
		}

		return undefined;
	}

	if (contentLength === undefined) {
		return undefined;
	}

	if (!/^\d{1,15}$/.test(contentLength)) {
		return refuse('the content length is malformed');
	}

	if (Number(contentLength) > limits.maximumBodyBytes) {
		return {code: 'body-too-large', outcome: 'not-run', detail: `the body is larger than ${limits.maximumBodyBytes} bytes`};
	}

	return undefined;
}

/** Checks that the field `Host` is present in HTTP/1.1 and that neither it nor the key's field is repeated. */
export function checkHost(request: IncomingMessage, keyField: string): Problem | undefined {
	if (request.httpVersion === '1.1' && request.headers.host === undefined) {
		return refuse('the field host is missing');
	}

	const {rawHeaders} = request;
	let hosts = 0;
	let credentials = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const {length} = rawHeaders[index]!;
		if (length === hostLength && rawHeaders[index]!.toLowerCase() === 'host') {
			hosts += 1;
		} else if (length === keyField.length && rawHeaders[index]!.toLowerCase() === keyField) {
			credentials += 1;
		}
	}

	if (hosts > 1) {
		return refuse('the field host stands twice');
	}

	return credentials > 1 ? refuse(`the field ${keyField} stands twice`) : undefined;
}

const hostLength = 'host'.length;
