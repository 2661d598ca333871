// The library declares types only for its main module, which exports the same classes.
declare module 'prom-client/lib/registry.js' {
	export {Registry as default} from 'prom-client';
}

declare module 'prom-client/lib/gauge.js' {
	export {Gauge as default} from 'prom-client';
}

declare module 'prom-client/lib/counter.js' {
	export {Counter as default} from 'prom-client';
}
