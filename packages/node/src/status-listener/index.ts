/**
The HTTP listener for liveness, readiness and metrics.
*/

import type {RequestListener} from 'node:http';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

/** The state that the status listener serves. */
export type StatusSource = {
	isReady(): boolean;
	renderMetrics(): Promise<string>;
};

const unavailableStatus = 503;
const metricsMediaType = 'text/plain; version=0.0.4; charset=utf-8';

/** Creates the request listener for `/healthz`, `/readyz` and `/metrics`. */
export function createStatusListener(source: StatusSource): RequestListener {
	const router = new H3({silent: true});
	router.get('/healthz', () => ({alive: true}));
	router.get('/readyz', event => {
		const ready = source.isReady();
		event.res.status = ready ? 200 : unavailableStatus;
		return {ready};
	});
	router.get('/metrics', async event => {
		event.res.headers.set('content-type', metricsMediaType);
		return source.renderMetrics();
	});
	return toNodeHandler(router);
}
