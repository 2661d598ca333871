/**
Help on the statements, for people.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Help is asked for on a topic that there is not. */
export class UnknownTopicError extends FireflygladeError {
	get code(): 'unknown-topic' {
		return 'unknown-topic';
	}
}

const topics: Readonly<Record<string, string>> = {
	teams: `create team NAME rate 20/s burst 10    a team with its rate and burst over all VMs together
change team NAME rate 600/min          rate, burst or both; a rate is counted per s, min or h
delete team NAME`,
	keys: `issue key for team NAME                answers the key's id and, this once, its secret
withdraw key ID                        the key stops within seconds, on open connections too
show keys where team = "NAME"`,
	routes: `create route POST /orders/:id service NAME [SETTINGS]
change route POST /orders/:id SETTINGS
delete route POST /orders/:id

In a path, ":name" stands for one segment, and a last "**" for all the rest. The settings are:
  service NAME                the service that answers
  priority 0 to 9             0 is the most important; 5 if not named
  idempotent yes|no           yes for GET, HEAD and OPTIONS if not named, else no
  open yes|no                 yes if no key is needed
  retries N                   retries after the first attempt, end to end
  timeout 500ms|2s            longest time of a call
  when cut off serve|refuse   what a cut-off failure domain does with the route's keyed requests
  teams NAME, NAME            the teams that may use the route; all if not named`,
	upstreams: `drain upstream SERVICE.NODE            the upstream gets no new work
undrain upstream SERVICE.NODE
show upstreams where service = NAME`,
	domains: `set domain NAME weight 1 witnesses NODE, NODE, NODE
delete domain NAME
show domains

The weight is the domain's part of every team's rate. The witnesses, three or five nodes of the
domain, grant its leases; change them one at a time.`,
	members: `add member NAME                        lets a control process that has started with "join" take part
remove member NAME                     for a VM that is lost or replaced
show members

A replaced VM comes back under a new name: add the new member first, then remove the old one.`,
	show: `show teams|keys|routes|upstreams|nodes|domains|members|history|revision
  [where CONDITION] [order by COLUMN [desc], …] [limit N]

A condition compares a column with a value by =, !=, <, <=, >, >= or like (with * for any text);
conditions are joined by and, or, not and parentheses:
  show teams where refused > 0 order by goodput desc limit 5`,
	revisions: `STATEMENT if revision N                the change is refused unless the configuration is at revision N
show revision
show history order by revision desc limit 10

The answer to a change names the failure domains in which it is in force and those that have not
confirmed it yet.`,
};

const overview = `Statements:
  create, change, delete team      help teams
  issue, withdraw key              help keys
  create, change, delete route     help routes
  drain, undrain upstream          help upstreams
  set, delete domain               help domains
  add, remove member               help members
  show …                           help show
  … if revision N                  help revisions`;

/** Names of the topics of help. */
export const helpTopics: readonly string[] = Object.keys(topics);

function findTopic(name: string): string | undefined {
	for (const candidate of [name, `${name}s`]) {
		if (Object.hasOwn(topics, candidate)) {
			return topics[candidate];
		}
	}

	return undefined;
}

/**
Gives the help on a topic, or the overview.

@throws {UnknownTopicError} There is no such topic.
*/
export function getHelpText(topic?: string): string {
	if (topic === undefined) {
		return overview;
	}

	const text = findTopic(topic);
	if (text === undefined) {
		throw new UnknownTopicError(`there is no help on ${JSON.stringify(topic)}; the topics are ${helpTopics.join(', ')}`);
	}

	return text;
}
