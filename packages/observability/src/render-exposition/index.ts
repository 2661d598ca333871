/**
Formats metrics in the Prometheus text format.

The metrics library is loaded at the first scrape, so that a process that is never
scraped doesn't load it.
*/

import type * as expositionLibrary from '../_lib/exposition-library/index.js';
import type {MetricFamily} from '../metric-families/index.js';

type ExpositionLibrary = typeof expositionLibrary;
type Registry = InstanceType<ExpositionLibrary['Registry']>;

function addFamily(family: MetricFamily, library: ExpositionLibrary, registry: Registry): void {
	const settings = {
		name: family.name, help: family.help, labelNames: [...family.labelNames], registers: [registry],
	};
	const metric = family.kind === 'counter' ? new library.Counter(settings) : new library.Gauge(settings);
	for (const {labels, value} of family.samples) {
		metric.inc(labels, value);
	}
}

/** Formats metrics as text for scraping. */
export async function renderExposition(families: readonly MetricFamily[]): Promise<string> {
	const library = await import('../_lib/exposition-library/index.js');
	const registry = new library.Registry();
	for (const family of families) {
		addFamily(family, library, registry);
	}

	return registry.metrics();
}
