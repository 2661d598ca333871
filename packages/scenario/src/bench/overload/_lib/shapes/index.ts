/**
The fleets of the bench: two service call graphs scaled to one machine.
*/

/** One service of a shape. */
export type ServiceShape = {
	readonly name: string;
	readonly targets: number;
	readonly slots: number;
	readonly serviceMilliseconds: number;
};

/** The load of one team as a part of the capacity. */
export type TeamShape = {
	readonly name: string;
	/** The team's part of the capacity, which is also its rate. */
	readonly part: number;
};

/** A fleet: each request runs at the front service, which calls the deep one. */
export type Shape = {
	readonly name: string;
	readonly domains: readonly string[];
	readonly front: ServiceShape;
	readonly deep: ServiceShape;
	readonly teams: readonly TeamShape[];
};

const parts = [0.3, 0.25, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05];

const teams: readonly TeamShape[] = parts.map((part, index) => ({name: `team-${index}`, part}));

/** Three failure domains; the orders behind the surveys are the narrow place. */
export const pennine: Shape = {
	name: 'pennine',
	domains: ['north', 'west', 'east'],
	front: {
		name: 'survey-app', targets: 5, slots: 16, serviceMilliseconds: 20,
	},
	deep: {
		name: 'orders-app', targets: 3, slots: 7, serviceMilliseconds: 100,
	},
	teams,
};

/** Four failure domains; the technicians' app behind the visits is the narrow place. */
export const rimac: Shape = {
	name: 'rimac',
	domains: ['centro', 'norte', 'sur', 'este'],
	front: {
		name: 'citas', targets: 5, slots: 20, serviceMilliseconds: 20,
	},
	deep: {
		name: 'taller', targets: 4, slots: 6, serviceMilliseconds: 120,
	},
	teams,
};

/** Requests a second that the slots of the deep service can run. */
export function capacityOf(shape: Shape): number {
	return shape.deep.targets * shape.deep.slots * 1000 / shape.deep.serviceMilliseconds;
}
