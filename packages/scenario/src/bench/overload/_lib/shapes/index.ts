/**
The shapes of the benched fleets: two service call graphs, scaled down to run on
one machine.
*/

/** One service of a shape: its number of upstreams, and the slots and service time of each. */
export type ServiceShape = {
	readonly name: string;
	readonly targets: number;
	readonly slots: number;
	readonly serviceMilliseconds: number;
};

/** One team of a shape. */
export type TeamShape = {
	readonly name: string;
	/** The team's share of the capacity, which also sets its rate. */
	readonly part: number;
};

/** The shape of a fleet: each request runs at the frontend service, which calls the backend service. */
export type Shape = {
	readonly name: string;
	readonly domains: readonly string[];
	readonly frontend: ServiceShape;
	readonly backend: ServiceShape;
	readonly teams: readonly TeamShape[];
};

const capacityShares = [0.3, 0.25, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05];

const teams: readonly TeamShape[] = capacityShares.map((part, index) => ({name: `team-${index}`, part}));

/** Three failure domains; the backend `orders-app` is the bottleneck. */
export const pennine: Shape = {
	name: 'pennine',
	domains: ['north', 'west', 'east'],
	frontend: {
		name: 'survey-app', targets: 5, slots: 16, serviceMilliseconds: 20,
	},
	backend: {
		name: 'orders-app', targets: 3, slots: 7, serviceMilliseconds: 100,
	},
	teams,
};

/** Four failure domains; the backend `taller` is the bottleneck. */
export const rimac: Shape = {
	name: 'rimac',
	domains: ['centro', 'norte', 'sur', 'este'],
	frontend: {
		name: 'citas', targets: 5, slots: 20, serviceMilliseconds: 20,
	},
	backend: {
		name: 'taller', targets: 4, slots: 6, serviceMilliseconds: 120,
	},
	teams,
};

/** Returns the requests per second that the slots of the backend service can run. */
export function capacityOf(shape: Shape): number {
	return shape.backend.targets * shape.backend.slots * 1000 / shape.backend.serviceMilliseconds;
}
