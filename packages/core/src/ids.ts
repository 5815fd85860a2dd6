/**
 * Branded identifiers. The brand keeps, for instance, an endpoint's name from being passed where a host is expected.
 */

declare const brand: unique symbol;

/** A value that only the matching constructor below produces. */
export type Branded<Value, Name extends string> = Value & {readonly [brand]: Name};

export type HostId = Branded<string, 'HostId'>;
export type EndpointId = Branded<string, 'EndpointId'>;
export type EntryId = Branded<string, 'EntryId'>;
export type AgentId = Branded<string, 'AgentId'>;
export type ClientAccountName = Branded<string, 'ClientAccountName'>;
export type KeyHash = Branded<string, 'KeyHash'>;
export type RequestId = Branded<string, 'RequestId'>;
export type ActionId = Branded<string, 'ActionId'>;
export type ClaimId = Branded<string, 'ClaimId'>;
export type ConfigVersion = Branded<number, 'ConfigVersion'>;
export type Incarnation = Branded<string, 'Incarnation'>;
export type LeaseEpoch = Branded<number, 'LeaseEpoch'>;
export type OrderNumber = Branded<number, 'OrderNumber'>;
export type WindowId = Branded<string, 'WindowId'>;
export type Fingerprint = Branded<string, 'Fingerprint'>;

/** Brands a plain value at the edge where it enters the system. */
export const brandAs = <Id extends Branded<string | number, string>>(value: Id extends string ? string : number): Id =>
	value as unknown as Id;

/** A source of unique ids, passed in so that tests control it. */
export type MakeId = () => string;
